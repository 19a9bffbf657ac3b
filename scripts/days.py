#!/usr/bin/env python3
"""Generates a day (a fault scenario of a deployment) from a seed: faults of all kinds, at any time, also repeated.

    scripts/days.py SEED [--shape any|repeat|control] > day.toml
    scripts/days.py --list

The same seed and shape always give the same day. A day names no deployment: zones, services and
classes are left out, so that the program that runs it chooses them and the same day fits every deployment.

Shapes:
  any      12 to 17 entries of all kinds, each at its own time
  repeat   two kinds, each 3 to 5 times, among 4 others
  control  only faults of the control plane, with configuration changes at any time

The script does not limit concurrent losses: the program that runs the day delays an entry that would lose
more than the deployment tolerates. The fields of each entry are drawn from ranges around the usual
values; `how` is drawn from the variants of its kind, followed by optional words (a change sent to the
machine as it returns, two such changes at once, workers that leave there).
Never generated: false or flapping health answers, which only deployments with many workers support, and
poison.
"""
import argparse
import random
import sys

FIRST_S = 1.5  # earliest entry: before this time the first configuration is still being distributed
LAST_S = 54.0  # latest entry: callers still observe the effects of a fault at this time
LENGTH_S = 60.0  # duration of the traffic: long enough for delayed entries to run

# Optional words after the variant of an entry that harms a number of controllers.
HOW_SUFFIXES = ["", "", "meet", "race", "race hard", "drain", "meet drain", "race drain hard"]
WHICH = ["", "leader", "oldest", "seed", "reader", "turn"]


def seconds(rng, low, high):
    return round(rng.uniform(low, high), 2)


def join_words(*words):
    return " ".join(word for word in words if word)


def controller_entry(rng, kind, **fields):
    """Returns an entry for one controller, with the variants that all such kinds support."""
    how = join_words(rng.choice(["", "leader", "leader", "seed", "turn"]), rng.choice(HOW_SUFFIXES))
    return {"kind": kind, "on": "core", "count": 1, "how": how, **fields}


def core_cut(rng):
    which = rng.choice(["", "leader", "leader", "oldest", "seeds", "lure", "turn"])
    reach = rng.choice(["", "", "all", "near", "one_way", "refuse", "reset", "both"])
    how = join_words(which, reach, rng.choice(HOW_SUFFIXES))
    return {"kind": "core_cut", "count": 1, "for_s": seconds(rng, 2, 20), "how": how}


def node_kill(rng):
    entry = controller_entry(rng, "node_kill", for_s=seconds(rng, 0.5, 6))
    if rng.random() < 0.4:
        entry["how"] = join_words("power", entry["how"])
    return entry


def replace_core(rng):
    how = join_words(rng.choice(["", "planned", "planned"]), rng.choice(["", "oldest", "leader", "seed"]))
    return {"kind": "replace_core", "x": seconds(rng, 0.5, 4), "how": how}


def herd_kill(rng):
    entry = {"kind": "herd_kill", "for_s": seconds(rng, 0.5, 2)}
    if rng.random() < 0.6:
        entry["on"] = "core"
    else:
        entry["share"] = seconds(rng, 0.2, 0.8)
    entry["how"] = rng.choice(["", "power", "power", "taken", "taken all"])
    return entry


def after_ack_kill(rng):
    how = rng.choice(["", "kill", "timed", "taken", "taken gone"])
    return {"kind": "after_ack_kill", "for_s": seconds(rng, 1, 4), "how": how}


def scale_in(rng):
    entry = {"kind": "scale_in", "share": seconds(rng, 0.05, 0.2)}
    if rng.random() < 0.5:
        entry.update(how="spot", x=seconds(rng, 1.5, 3))
    return entry


def srv_crash(rng):
    how = rng.choice(["", "dark", "gone", "dark gone"])
    return {"kind": "srv_crash", "share": seconds(rng, 0.05, 0.2), "for_s": seconds(rng, 2, 5), "how": how}


def srv_grey(rng):
    how = rng.choice(["errors", "shed", "busy", "hang", "reset", "mute", "slow"])
    return {"kind": "srv_grey", "share": seconds(rng, 0.05, 0.15), "x": 1.0, "for_s": seconds(rng, 2, 6), "how": how}


def srv_cut(rng):
    how = rng.choice(["", "fronts", "one_way", "reset"])
    return {"kind": "srv_cut", "share": seconds(rng, 0.05, 0.25), "for_s": seconds(rng, 2, 7), "how": how}


def node_cut(rng):
    how = rng.choice(["", "", "all", "servers", "refuse", "reset"])
    return {"kind": "node_cut", "share": seconds(rng, 0.05, 0.2), "for_s": seconds(rng, 2, 7), "how": how}


def config_change(rng):
    return {"kind": "config_change", "how": rng.choice(["route", "weights", "timeout", "idle"])}


def config_storm(rng):
    gap_s = rng.choice([0.05, 0.1, 0.3])
    return {"kind": "config_storm", "for_s": seconds(rng, 2, 12), "gap_s": gap_s}


def config_race(rng):
    return {"kind": "config_race", "count": rng.randint(2, 6), "gap_s": seconds(rng, 0.4, 1.5)}


def bad_config(rng):
    how = rng.choice(["", "cut_short", "unknown_service", "old_version", "same_version", "no_timeout"])
    return {"kind": "bad_config", "count": rng.randint(1, 3), "gap_s": seconds(rng, 0.4, 1.2), "how": how}


def roll_term(rng):
    how = rng.choice(["", "busy", "busy"])
    return {"kind": "roll_term", "share": seconds(rng, 0.2, 0.7), "x": 1.0, "gap_s": seconds(rng, 0.8, 2), "how": how}


def after_ack_wipe(rng):
    return {"kind": "after_ack_wipe", "for_s": seconds(rng, 0.8, 4), "how": rng.choice(["", "oldest"])}


def burst(rng):
    return {"kind": "burst", "x": seconds(rng, 1.5, 2.5), "for_s": seconds(rng, 2, 4)}


def disk(rng):
    kind = rng.choice(["disk_slow", "disk_full", "disk_stall"])
    fields = {"x": seconds(rng, 10, 40)} if kind == "disk_slow" else {}
    return {"kind": kind, "count": 1, "for_s": seconds(rng, 2, 7), "how": rng.choice(["", "leader"]), **fields}


def clock_step(rng):
    how = rng.choice(["", "back", "ahead"])
    return {"kind": "clock_step", "x": seconds(rng, 500, 4000), "share": seconds(rng, 0.1, 0.6),
            "for_s": seconds(rng, 2, 6), "how": how}


def hup(rng):
    return {"kind": "hup", "share": seconds(rng, 0.2, 1), "gap_s": seconds(rng, 0, 2)}


def reset_conns(rng):
    return {"kind": "reset_conns", "share": seconds(rng, 0.1, 0.5), "x": seconds(rng, 0.3, 1)}


def ack_lost(rng):
    return {"kind": "ack_lost", "x": seconds(rng, 0.4, 0.9), "for_s": seconds(rng, 3, 12)}


def big_config(rng):
    return {"kind": "big_config", "count": rng.choice([100, 300, 600])}



CONTROL = {
    "core_cut": core_cut,
    "node_kill": node_kill,
    "node_freeze": lambda rng: controller_entry(rng, "node_freeze", for_s=seconds(rng, 0.5, 6)),
    "node_slow": lambda rng: controller_entry(rng, "node_slow", x=seconds(rng, 3, 8), for_s=seconds(rng, 2, 6)),
    "replace_core": replace_core,
    "after_ack_wipe": after_ack_wipe,
    "after_ack_kill": after_ack_kill,
    "herd_kill": herd_kill,
    "roll_term": roll_term,
    "seed_turnover": lambda rng: {"kind": "seed_turnover"},
    "disk": disk,
    "clock_step": clock_step,
    "zone_loss": lambda rng: {"kind": "zone_loss", "for_s": seconds(rng, 1, 5)},
    "zone_cut": lambda rng: {"kind": "zone_cut", "for_s": seconds(rng, 2, 6)},
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
    "srv_slow": lambda rng: {"kind": "srv_slow", "share": seconds(rng, 0.05, 0.2), "x": seconds(rng, 2, 6),
                              "for_s": seconds(rng, 2, 6)},
    "node_cut": node_cut,
    "node_kill_any": lambda rng: {"kind": "node_kill", "share": seconds(rng, 0.05, 0.2),
                                   "for_s": seconds(rng, 0.5, 4), "how": rng.choice(["", "power"])},
    "burst": burst,
}
PLANNED = {"config_change", "config_storm", "config_race", "bad_config", "big_config", "scale_in", "roll_term", "hup"}
CLOSINGS = [
    ("power_off_all", [""]),
    ("kill_all", [""]),
    ("wipe_after_ack", ["", "aimed", "timed", "taken", "oldest"]),
]


def scheduled(rng, makers, names):
    return [{"at": seconds(rng, FIRST_S, LAST_S), **makers[name](rng)} for name in names]


def any_day(rng):
    makers = {**CONTROL, **CONFIGS, **OTHERS}
    names = [rng.choice(sorted(makers)) for _ in range(rng.randint(10, 15))]
    return scheduled(rng, makers, names + ["config_change", "config_race"])


def repeat_day(rng):
    makers = {**CONTROL, **CONFIGS, **OTHERS}
    names = []
    for name in rng.sample(sorted(CONTROL), 2):
        names += [name] * rng.randint(3, 5)
    names += [rng.choice(sorted(makers)) for _ in range(3)]
    return scheduled(rng, makers, names + ["config_storm", "config_race"])


def control_day(rng):
    makers = {**CONTROL, **CONFIGS}
    names = [rng.choice(sorted(CONTROL)) for _ in range(rng.randint(6, 9))]
    names += [rng.choice(sorted(CONFIGS)) for _ in range(5)]
    return scheduled(rng, makers, names)


SHAPES = {"any": any_day, "repeat": repeat_day, "control": control_day}


def toml_value(value):
    return f'"{value}"' if isinstance(value, str) else str(value)


def toml_table(fields):
    return "{ " + ", ".join(f"{name} = {toml_value(value)}" for name, value in fields.items() if value != "") + " }"


def toml_list(name, entries):
    lines = "".join(f"  {toml_table(entry)},\n" for entry in entries)
    return f"{name} = [\n{lines}]\n"


def day_text(seed, shape):
    rng = random.Random(f"{shape}:{seed}")
    entries = sorted(SHAPES[shape](rng), key=lambda entry: entry["at"])
    plan = [entry for entry in entries if entry["kind"] in PLANNED]
    faults = [entry for entry in entries if entry["kind"] not in PLANNED]
    kind, variants = rng.choice(CLOSINGS)
    closing = {"kind": kind, "down_s": seconds(rng, 0.6, 1.6), "how": rng.choice(variants)}
    head = f"# Drawn: scripts/days.py {seed} --shape {shape}\n"
    day = f'[[day]]\nname = "{shape}-{seed}"\nseed = {seed}\nlength_s = {LENGTH_S}\nclosing = {toml_table(closing)}\n'
    return head + day + toml_list("plan", plan) + toml_list("faults", faults)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("seed", type=int, nargs="?", help="seed of the day")
    parser.add_argument("--shape", choices=sorted(SHAPES), default="any")
    parser.add_argument("--list", action="store_true", help="list the kinds of entries")
    chosen = parser.parse_args()
    if chosen.list:
        print("\n".join(sorted({**CONTROL, **CONFIGS, **OTHERS})))
        return 0
    if chosen.seed is None:
        parser.error("a seed or --list is required")
    sys.stdout.write(day_text(chosen.seed, chosen.shape))
    return 0


if __name__ == "__main__":
    sys.exit(main())
