#!/usr/bin/env python3
"""Lays a site for another customer: our values over a site file of the bench, with the files that it wants beside it.

    deploy/sites/lay.py NAME BASE     # BASE: a site file; writes NAME.toml here, and copies what lies beside BASE

NAME.values holds lines `SECTION KEY = VALUE`, where SECTION is a table's name, `NAME[N]` for the N-th table of an array
(from 0), or `-` for the head; `drop NAME` takes off all tables of an array; what follows a line `---` is appended.
What is laid is ignored by git. Ends with an error that names the value, where one to be replaced is not there exactly once.
"""
import pathlib
import re
import shutil
import sys

BESIDE = ("wire.json", "real.json", "unlock.txt", "design.json")


def sections(text):
    """The file as [heading, lines]; tables of an array are numbered."""
    parts, counts = [["-", []]], {}
    for line in text.splitlines():
        found = re.match(r"\[\[(.+?)\]\]", line)
        table = re.match(r"\[([^\[\]]+)\]", line)
        if found:
            number = counts.get(found[1], 0)
            counts[found[1]] = number + 1
            parts.append([f"{found[1]}[{number}]", [line]])
        elif table:
            parts.append([table[1], [line]])
        else:
            parts[-1][1].append(line)
    return parts


def lay(name, base):
    here = pathlib.Path(__file__).parent
    wanted, _, appended = (here / f"{name}.values").read_text().partition("\n---\n")
    parts = sections(base.read_text())
    for line in wanted.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        if line.startswith("drop "):
            array = line.split()[1]
            kept = [part for part in parts if not part[0].startswith(f"{array}[")]
            if len(kept) == len(parts):
                sys.exit(f"{name}: there is no table {array} to drop")
            parts = kept
            continue
        path, value = (side.strip() for side in line.split(" = ", 1))
        section, key = path.split()
        places = [
            (part[1], number)
            for part in parts
            if part[0] == section
            for number, old in enumerate(part[1])
            if re.match(rf"{re.escape(key)} *=", old)
        ]
        if len(places) != 1:
            sys.exit(f"{name}: {section} {key} is there {len(places)} times, once is wanted")
        lines, number = places[0]
        lines[number] = f"{key} = {value}"
    text = "\n".join("\n".join(part[1]) for part in parts) + "\n" + appended
    (here / f"{name}.toml").write_text(text)
    for beside in BESIDE:
        if (base.parent / beside).exists():
            target = here / beside
            target.unlink(missing_ok=True)
            shutil.copyfile(base.parent / beside, target)
    print(here / f"{name}.toml")


if __name__ == "__main__":
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    lay(sys.argv[1], pathlib.Path(sys.argv[2]))
