"""The prompt as one text, as engines fold it for hashing prefixes."""

from __future__ import annotations

import hashlib
from typing import Any

from pimentodale.clients.engine_messages import PREFIX_CHARS


def prompt_text(body: dict[str, Any]) -> str:
    """Fold a completion request's prompt or messages into one text.

    Args:
        body: The OpenAI request.

    Returns:
        The prompt, or a line `role: content` for each message.
    """
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "".join(map(str, prompt))
    lines = []
    for message in body["messages"]:
        content = message.get("content") or ""
        if not isinstance(content, str):
            content = "".join(str(part.get("text", "")) for part in content)
        lines.append(f"{message.get('role', 'user')}: {content}")
    return "\n".join(lines)


def prefix_hash(prompt: str) -> str:
    """Hash the start of a prompt; empty for a prompt shorter than the prefix."""
    if len(prompt) < PREFIX_CHARS:
        return ""
    return hashlib.sha256(prompt[:PREFIX_CHARS].encode()).hexdigest()
