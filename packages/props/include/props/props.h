#ifndef PROPS_PROPS_H
#define PROPS_PROPS_H

#include "base/ring.h"
#include "member/members.h"
#include "props/bounds.h"

/* What a process is told of its place. Nothing else tells it of others. */
typedef struct Props {
    const char *name;
    const char *zone;
    const char *listen; /* address for peers */
    const char *http;   /* address for callers */
    const char *seeds[SEEDS];
    const char *data;   /* cores: the folder of the journal */
    const char *worker; /* agents: the worker it is beside; the name when not given */
    RecorderLevel log;  /* lines below it are only kept in memory */
    Bounds bounds;      /* whoever fills in a Props begins with bounds_first */
} Props;

/* Which keys a role must have; others are refused. */
typedef enum PropsRole { PROPS_CORE, PROPS_GATE, PROPS_AGENT } PropsRole;

/* Reads an ini file (group [spancart]). BAD_PROPS with the key's name. */
Status props_read(void *mem, const char *path, PropsRole role, Props *props, Failure *failure);
/* Puts one "key=value" over what was read, as flags do. */
Status props_set(void *mem, Props *props, const char *key, const char *value, Failure *failure);
/* Checks the whole. */
Status props_check(const Props *props, PropsRole role, Failure *failure);

#endif
