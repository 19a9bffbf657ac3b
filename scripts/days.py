#!/usr/bin/env python3
"""Draws a day of a deployment by seed: troubles of all kinds, at any moment, more than once.

    scripts/days.py SEED [--shape any|repeat|control] > day.toml
    scripts/days.py --list

The same seed and shape always give the same day. A day names no deployment: zones, services and
classes are left out, so that whoever plays it picks them, and the same day fits every deployment.

Shapes:
  any      12 to 17 entries of all kinds, each at its own moment
  repeat   two kinds, each 3 to 5 times, among 4 others
  control  only what harms the control side, and changes of the configuration in every moment of it

What may be lost at once is not judged here: who plays the day holds back an entry that would lose
more than the deployment tolerates, until its turn. Each entry's fields are drawn within ranges
around the usual ones; `how` is drawn from the variants that its kind knows, with words that may be
added to it (a change sent to the machine as it returns, two such at once, workers that leave there).
Not drawn: health answers that lie or flap, which only deployments of many workers know, and poison.
"""
import argparse
import random
import sys

FIRST_S = 1.5  # no entry before: the first configuration is still on its way
LAST_S = 54.0  # no entry after: what it harms is then still seen by callers
LENGTH_S = 60.0  # of the traffic: an entry that has to wait for its turn still comes

# Words that may stand behind the variant of an entry that harms counted machines.
AFTER_WORDS = ["", "", "meet", "race", "race hard", "drain", "meet drain", "race drain hard"]
WHICH = ["", "leader", "oldest", "seed", "reader", "turn"]


def seconds(draw, low, high):
    return round(draw.uniform(low, high), 2)


def joined(*words):
    return " ".join(word for word in words if word)


def counted(draw, kind, **fields):
    """An entry on one counted machine, with the variants that all of them know."""
    how = joined(draw.choice(["", "leader", "leader", "seed", "turn"]), draw.choice(AFTER_WORDS))
    return {"kind": kind, "on": "core", "count": 1, "how": how, **fields}


def core_cut(draw):
    which = draw.choice(["", "leader", "leader", "oldest", "seeds", "lure", "turn"])
    reach = draw.choice(["", "", "all", "near", "one_way", "refuse", "reset", "both"])
    how = joined(which, reach, draw.choice(AFTER_WORDS))
    return {"kind": "core_cut", "count": 1, "for_s": seconds(draw, 2, 20), "how": how}


def node_kill(draw):
    entry = counted(draw, "node_kill", for_s=seconds(draw, 0.5, 6))
    if draw.random() < 0.4:
        entry["how"] = joined("power", entry["how"])
    return entry


def replace_core(draw):
    how = joined(draw.choice(["", "planned", "planned"]), draw.choice(["", "oldest", "leader", "seed"]))
    return {"kind": "replace_core", "x": seconds(draw, 0.5, 4), "how": how}


def herd_kill(draw):
    entry = {"kind": "herd_kill", "for_s": seconds(draw, 0.5, 2)}
    if draw.random() < 0.6:
        entry["on"] = "core"
    else:
        entry["share"] = seconds(draw, 0.2, 0.8)
    entry["how"] = draw.choice(["", "power", "power", "taken", "taken all"])
    return entry


def after_ack_kill(draw):
    how = draw.choice(["", "kill", "timed", "taken", "taken gone"])
    return {"kind": "after_ack_kill", "for_s": seconds(draw, 1, 4), "how": how}


def scale_in(draw):
    entry = {"kind": "scale_in", "share": seconds(draw, 0.05, 0.2)}
    if draw.random() < 0.5:
        entry.update(how="spot", x=seconds(draw, 1.5, 3))
    return entry


def srv_crash(draw):
    how = draw.choice(["", "dark", "gone", "dark gone"])
    return {"kind": "srv_crash", "share": seconds(draw, 0.05, 0.2), "for_s": seconds(draw, 2, 5), "how": how}


def srv_grey(draw):
    how = draw.choice(["errors", "shed", "busy", "hang", "reset", "mute", "slow"])
    return {"kind": "srv_grey", "share": seconds(draw, 0.05, 0.15), "x": 1.0, "for_s": seconds(draw, 2, 6), "how": how}


def srv_cut(draw):
    how = draw.choice(["", "fronts", "one_way", "reset"])
    return {"kind": "srv_cut", "share": seconds(draw, 0.05, 0.25), "for_s": seconds(draw, 2, 7), "how": how}


def node_cut(draw):
    how = draw.choice(["", "", "all", "servers", "refuse", "reset"])
    return {"kind": "node_cut", "share": seconds(draw, 0.05, 0.2), "for_s": seconds(draw, 2, 7), "how": how}


def config_change(draw):
    return {"kind": "config_change", "how": draw.choice(["route", "weights", "timeout", "idle"])}


def config_storm(draw):
    gap_s = draw.choice([0.05, 0.1, 0.3])
    return {"kind": "config_storm", "for_s": seconds(draw, 2, 12), "gap_s": gap_s}


def config_race(draw):
    return {"kind": "config_race", "count": draw.randint(2, 6), "gap_s": seconds(draw, 0.4, 1.5)}


def bad_config(draw):
    how = draw.choice(["", "cut_short", "unknown_service", "old_version", "same_version", "no_timeout"])
    return {"kind": "bad_config", "count": draw.randint(1, 3), "gap_s": seconds(draw, 0.4, 1.2), "how": how}


def roll_term(draw):
    how = draw.choice(["", "busy", "busy"])
    return {"kind": "roll_term", "share": seconds(draw, 0.2, 0.7), "x": 1.0, "gap_s": seconds(draw, 0.8, 2), "how": how}


def after_ack_wipe(draw):
    return {"kind": "after_ack_wipe", "for_s": seconds(draw, 0.8, 4), "how": draw.choice(["", "oldest"])}


def burst(draw):
    return {"kind": "burst", "x": seconds(draw, 1.5, 2.5), "for_s": seconds(draw, 2, 4)}


def disk(draw):
    kind = draw.choice(["disk_slow", "disk_full", "disk_stall"])
    fields = {"x": seconds(draw, 10, 40)} if kind == "disk_slow" else {}
    return {"kind": kind, "count": 1, "for_s": seconds(draw, 2, 7), "how": draw.choice(["", "leader"]), **fields}


def clock_step(draw):
    how = draw.choice(["", "back", "ahead"])
    return {"kind": "clock_step", "x": seconds(draw, 500, 4000), "share": seconds(draw, 0.1, 0.6),
            "for_s": seconds(draw, 2, 6), "how": how}


def hup(draw):
    return {"kind": "hup", "share": seconds(draw, 0.2, 1), "gap_s": seconds(draw, 0, 2)}


def reset_conns(draw):
    return {"kind": "reset_conns", "share": seconds(draw, 0.1, 0.5), "x": seconds(draw, 0.3, 1)}


def ack_lost(draw):
    return {"kind": "ack_lost", "x": seconds(draw, 0.4, 0.9), "for_s": seconds(draw, 3, 12)}


def big_config(draw):
    return {"kind": "big_config", "count": draw.choice([100, 300, 600])}



CONTROL = {
    "core_cut": core_cut,
    "node_kill": node_kill,
    "node_freeze": lambda draw: counted(draw, "node_freeze", for_s=seconds(draw, 0.5, 6)),
    "node_slow": lambda draw: counted(draw, "node_slow", x=seconds(draw, 3, 8), for_s=seconds(draw, 2, 6)),
    "replace_core": replace_core,
    "after_ack_wipe": after_ack_wipe,
    "after_ack_kill": after_ack_kill,
    "herd_kill": herd_kill,
    "roll_term": roll_term,
    "seed_turnover": lambda draw: {"kind": "seed_turnover"},
    "disk": disk,
    "clock_step": clock_step,
    "zone_loss": lambda draw: {"kind": "zone_loss", "for_s": seconds(draw, 1, 5)},
    "zone_cut": lambda draw: {"kind": "zone_cut", "for_s": seconds(draw, 2, 6)},
    "ack_lost": ack_lost,
    "hup": hup,
    "reset_conns": reset_conns,
}
CONFIGS = {
    "config_change": config_change,
    "config_storm": config_storm,
    "config_race": config_race,
    "bad_config": bad_config,
    "big_config": big_config,
}
OTHERS = {
    "scale_in": scale_in,
    "srv_crash": srv_crash,
    "srv_grey": srv_grey,
    "srv_cut": srv_cut,
    "srv_slow": lambda draw: {"kind": "srv_slow", "share": seconds(draw, 0.05, 0.2), "x": seconds(draw, 2, 6),
                              "for_s": seconds(draw, 2, 6)},
    "node_cut": node_cut,
    "node_kill_any": lambda draw: {"kind": "node_kill", "share": seconds(draw, 0.05, 0.2),
                                   "for_s": seconds(draw, 0.5, 4), "how": draw.choice(["", "power"])},
    "burst": burst,
}
PLANNED = {"config_change", "config_storm", "config_race", "bad_config", "big_config", "scale_in", "roll_term", "hup"}
CLOSINGS = [
    ("power_off_all", [""]),
    ("kill_all", [""]),
    ("wipe_after_ack", ["", "aimed", "timed", "taken", "oldest"]),
]


def placed(draw, makers, names):
    return [{"at": seconds(draw, FIRST_S, LAST_S), **makers[name](draw)} for name in names]


def any_day(draw):
    makers = {**CONTROL, **CONFIGS, **OTHERS}
    names = [draw.choice(sorted(makers)) for _ in range(draw.randint(10, 15))]
    return placed(draw, makers, names + ["config_change", "config_race"])


def repeat_day(draw):
    makers = {**CONTROL, **CONFIGS, **OTHERS}
    names = []
    for name in draw.sample(sorted(CONTROL), 2):
        names += [name] * draw.randint(3, 5)
    names += [draw.choice(sorted(makers)) for _ in range(3)]
    return placed(draw, makers, names + ["config_storm", "config_race"])


def control_day(draw):
    makers = {**CONTROL, **CONFIGS}
    names = [draw.choice(sorted(CONTROL)) for _ in range(draw.randint(6, 9))]
    names += [draw.choice(sorted(CONFIGS)) for _ in range(5)]
    return placed(draw, makers, names)


SHAPES = {"any": any_day, "repeat": repeat_day, "control": control_day}


def text_of(value):
    return f'"{value}"' if isinstance(value, str) else str(value)


def line_of(fields):
    return "{ " + ", ".join(f"{name} = {text_of(value)}" for name, value in fields.items() if value != "") + " }"


def list_of(name, entries):
    lines = "".join(f"  {line_of(entry)},\n" for entry in entries)
    return f"{name} = [\n{lines}]\n"


def day_text(seed, shape):
    draw = random.Random(f"{shape}:{seed}")
    entries = sorted(SHAPES[shape](draw), key=lambda entry: entry["at"])
    plan = [entry for entry in entries if entry["kind"] in PLANNED]
    faults = [entry for entry in entries if entry["kind"] not in PLANNED]
    kind, variants = draw.choice(CLOSINGS)
    closing = {"kind": kind, "down_s": seconds(draw, 0.6, 1.6), "how": draw.choice(variants)}
    head = f"# Drawn: scripts/days.py {seed} --shape {shape}\n"
    day = f'[[day]]\nname = "{shape}-{seed}"\nseed = {seed}\nlength_s = {LENGTH_S}\nclosing = {line_of(closing)}\n'
    return head + day + list_of("plan", plan) + list_of("faults", faults)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("seed", type=int, nargs="?", help="the day's seed")
    parser.add_argument("--shape", choices=sorted(SHAPES), default="any")
    parser.add_argument("--list", action="store_true", help="the kinds that are drawn from")
    chosen = parser.parse_args()
    if chosen.list:
        print("\n".join(sorted({**CONTROL, **CONFIGS, **OTHERS})))
        return 0
    if chosen.seed is None:
        parser.error("a seed, or --list")
    sys.stdout.write(day_text(chosen.seed, chosen.shape))
    return 0


if __name__ == "__main__":
    sys.exit(main())
