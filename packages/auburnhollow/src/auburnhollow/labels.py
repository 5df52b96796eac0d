"""Labels and selectors.

A label set maps names to a string or a list of strings. A selector is a JSON object that maps names
to the required value: a string, a list of strings (any of them), or ``null`` (no such label).

>>> matches({"tier": "gold", "county": ["cluj", "iasi"]}, {"tier": "gold", "county": "cluj"})
True
"""


def values_of(labels, name):
    """Return the values of label ``name`` as a tuple; empty when it is absent."""
    value = labels.get(name)
    if value is None:
        return ()
    if isinstance(value, str):
        return (value,)
    return tuple(value)


def matches(selector, labels):
    """Return whether ``labels`` satisfy every requirement of ``selector``."""
    for name, wanted in selector.items():
        held = values_of(labels, name)
        if wanted is None:
            if held:
                return False
            continue
        accepted = (wanted,) if isinstance(wanted, str) else wanted
        if not any(value in held for value in accepted):
            return False
    return True


def describe(selector):
    """Return a selector in readable form: ``county in (cluj, iasi), tier=gold``."""
    parts = []
    for name in sorted(selector):
        wanted = selector[name]
        if wanted is None:
            parts.append(f"no {name}")
            continue
        if isinstance(wanted, str):
            parts.append(f"{name}={wanted}")
            continue
        parts.append(f"{name} in ({', '.join(wanted)})")
    return ", ".join(parts) or "everything"
