/* Configurations, by number and by their effect: which tenants are taken, which
 * quotas bind. */
#include "checker.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

void checkerConfigSet(Checker *checker, uint64_t revision)
{
    if (revision <= checker->revision)
        checkerBroke(checker, NEVER_CONFIG_LOST, "revision %" PRIu64 " was given again after %" PRIu64, revision,
                     checker->revision);
    checker->revision = revision;
}

void checkerConfigRead(Checker *checker, uint64_t revision)
{
    if (revision < checker->revision)
        checkerBroke(checker, NEVER_CONFIG_LOST, "revision %" PRIu64 " is in force after %" PRIu64 " was acknowledged",
                     revision, checker->revision);
}

void checkerConfigBoth(Checker *checker, uint64_t base)
{
    checkerBroke(checker, NEVER_CONFIG_LOST, "two changes built on revision %" PRIu64 " were both acknowledged", base);
}

SeenTenant *seenTenant(Checker *checker, const char *name)
{
    SeenTenant *tenant = map_get(checker->tenants, name);
    if (tenant == NULL) {
        tenant = talloc_zero(checker, SeenTenant);
        map_set(checker->tenants, name, tenant);
    }
    return tenant;
}

void checkerTenant(Checker *checker, const char *name, TenantWord word)
{
    SeenTenant *tenant = seenTenant(checker, name);
    switch (word) {
    case TENANT_ASKED:
        tenant->unsure = true;
        break;
    case TENANT_IN:
    case TENANT_OUT:
        tenant->in = word == TENANT_IN;
        tenant->everIn |= tenant->in;
        tenant->unsure = false;
        tenant->since_ms = checkerNow(checker);
        break;
    default:
        tenant->unsure = false;
        break;
    }
}

void checkerProbe(Checker *checker, const char *name, int64_t sent_ms, bool taken)
{
    const SeenTenant *tenant = seenTenant(checker, name);
    if (tenant->unsure || (tenant->since_ms != 0 && sent_ms < tenant->since_ms + CONFIG_LATE_MS) || taken == tenant->in)
        return;
    if (taken && !tenant->everIn)
        checkerBroke(checker, NEVER_REFUSED_CONFIG, "work of tenant %s is taken, which only a refused one had", name);
    else
        checkerBroke(checker, NEVER_CONFIG_LOST,
                     "work of tenant %s is %s, %" PRId64 " ms after the other was acknowledged", name,
                     taken ? "taken" : "refused", checkerNow(checker) - tenant->since_ms);
}

static uint64_t looserOf(uint64_t a, uint64_t b)
{
    return a == 0 || b == 0 ? 0 : a > b ? a : b; /* 0: unbounded */
}

void checkerQuota(Checker *checker, const char *name, Room quota, TenantWord word)
{
    SeenTenant *tenant = seenTenant(checker, name);
    if (word == TENANT_REFUSED) {
        tenant->quotaUnsure = false;
        return;
    }
    if (word == TENANT_ASKED || tenant->quotaMs != 0)
        tenant->looser = (Room){looserOf(tenant->looser.cpu_milli, quota.cpu_milli),
                                looserOf(tenant->looser.mem_mb, quota.mem_mb), looserOf(tenant->looser.gpu, quota.gpu)};
    else
        tenant->looser = quota;
    tenant->quotaUnsure = word == TENANT_ASKED;
    if (word != TENANT_IN)
        return;
    tenant->quota = quota;
    tenant->quotaMs = checkerNow(checker);
}

/* What of the tenant runs. A task counts once; one whose machine stands still does
 * not run; one whose owner allows copies counts by the newest alone. */
static Room usedBy(Checker *checker, const char *cell, const char *name)
{
    Room used = {0};
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        const Job *known = job->settled ? NULL : checker->props.job(checker->props.arg, job->id);
        if (known == NULL || known->spec.copies || strcmp(known->spec.tenant, name) != 0 ||
            strcmp(known->spec.cell, cell) != 0)
            continue;
        const char **tasks;
        const size_t task_count = map_keys(job->tasks, mem, &tasks);
        for (size_t t = 0; t < task_count; t++)
            for (const SeenRun *run = ((const SeenTask *)map_get(job->tasks, tasks[t]))->runs; run != NULL;
                 run = run->next)
                if (!checker->props.frozen(checker->props.arg, run->worker)) {
                    used = room_more(used, run->room);
                    break;
                }
    }
    talloc_free(mem);
    return used;
}

void quotaStart(Checker *checker, const Job *job, Room room)
{
    SeenTenant *tenant = map_get(checker->tenants, job->spec.tenant);
    if (tenant == NULL || tenant->quotaMs == 0)
        return;
    if (!tenant->quotaUnsure && checkerNow(checker) > tenant->quotaMs + CONFIG_LATE_MS)
        tenant->looser = tenant->quota;
    const Room bound = tenant->looser;
    if (bound.cpu_milli == 0 && bound.mem_mb == 0)
        return;
    const Room used = room_more(usedBy(checker, job->spec.cell, job->spec.tenant), room);
    if ((bound.cpu_milli != 0 && used.cpu_milli > bound.cpu_milli) || (bound.mem_mb != 0 && used.mem_mb > bound.mem_mb))
        checkerBroke(checker, NEVER_OVER_QUOTA, "%s runs %" PRIu64 " milli-CPU and %" PRIu64 " MB with %s",
                     job->spec.tenant, used.cpu_milli, used.mem_mb, job->spec.id);
}
