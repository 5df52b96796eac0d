"""Generated contents of the fake backend servers."""

import random

CRUSHERS = ("jaw crusher", "cone crusher", "impact crusher", "vibrating screen", "wear liner")
SIZES = ("20 t", "30 t", "45 t", "60 t")
TOWNS = ("Cluj", "Iași", "Ploiești", "Deva", "Bacău")
TITLES = ("Algebra II", "Contes du Sahel", "Géographie", "Code civil", "Sciences naturelles")
LEVELS = ("3e", "2nde", "1re", "Terminale")
KINDS = ("schoolbook", "exam paper", "court notice")

ROWS_PER_SHARD = 40


def make_rows(theme, service, shard):
    """Return the rows of one shard, which are the same in every replica.

    :param theme: ``crushers`` or ``braille``.
    """
    rng = random.Random(f"{service}/{shard}")
    rows = []
    for number in range(ROWS_PER_SHARD):
        if theme == "crushers":
            title = f"{rng.choice(CRUSHERS)}, {rng.choice(SIZES)}, {rng.choice(TOWNS)}"
        else:
            title = f"{rng.choice(TITLES)}, {rng.choice(LEVELS)}, {rng.choice(KINDS)}"
        rows.append({"id": f"{shard}-{number}", "title": title, "score": round(rng.random(), 4)})
    return rows


def search_rows(rows, query):
    """Return the rows whose title contains the query's text, highest score first.

    :param query: JSON object with ``text`` and ``rows``.
    """
    text = str(query.get("text", "")).lower()
    found = [row for row in rows if text in row["title"].lower()]
    found.sort(key=lambda row: -row["score"])
    return found[: int(query.get("rows", 20))]
