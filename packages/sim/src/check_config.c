/* Configurations, by number and by their effect: which tenants are taken, which
 * quotas bind. */
#include "checker.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

void checker_config_set(Checker *checker, uint64_t version)
{
    if (version <= checker->version)
        checker_broke(checker, INVARIANT_CONFIG_LOST, "revision %" PRIu64 " was given again after %" PRIu64, version,
                      checker->version);
    checker->version = version;
}

void checker_config_read(Checker *checker, uint64_t version)
{
    if (version < checker->version)
        checker_broke(checker, INVARIANT_CONFIG_LOST,
                      "revision %" PRIu64 " is in force after %" PRIu64 " was acknowledged", version, checker->version);
}

void checker_config_both(Checker *checker, uint64_t base)
{
    checker_broke(checker, INVARIANT_CONFIG_LOST, "two changes built on revision %" PRIu64 " were both acknowledged",
                  base);
}

SeenTenant *seen_tenant(Checker *checker, const char *name)
{
    SeenTenant *tenant = map_get(checker->tenants, name);
    if (tenant == NULL) {
        tenant = talloc_zero(checker, SeenTenant);
        map_set(checker->tenants, name, tenant);
    }
    return tenant;
}

void checker_tenant(Checker *checker, const char *name, TenantWord word)
{
    SeenTenant *tenant = seen_tenant(checker, name);
    switch (word) {
    case TENANT_ASKED:
        tenant->unsure = true;
        break;
    case TENANT_IN:
    case TENANT_OUT:
        tenant->in = word == TENANT_IN;
        tenant->ever_in |= tenant->in;
        tenant->unsure = false;
        tenant->since_ms = checker_now(checker);
        break;
    default:
        tenant->unsure = false;
        break;
    }
}

void checker_probe(Checker *checker, const char *name, int64_t sent_ms, bool taken)
{
    const SeenTenant *tenant = seen_tenant(checker, name);
    if (tenant->unsure || (tenant->since_ms != 0 && sent_ms < tenant->since_ms + CONFIG_LATE_MS) || taken == tenant->in)
        return;
    if (taken && !tenant->ever_in)
        checker_broke(checker, INVARIANT_REFUSED_CONFIG, "work of tenant %s is taken, which only a refused one had",
                      name);
    else
        checker_broke(checker, INVARIANT_CONFIG_LOST,
                      "work of tenant %s is %s, %" PRId64 " ms after the other was acknowledged", name,
                      taken ? "taken" : "refused", checker_now(checker) - tenant->since_ms);
}

static uint64_t looser_of(uint64_t a, uint64_t b)
{
    return a == 0 || b == 0 ? 0 : a > b ? a : b; /* 0: unbounded */
}

void checker_quota(Checker *checker, const char *name, Resources quota, TenantWord word)
{
    SeenTenant *tenant = seen_tenant(checker, name);
    if (word == TENANT_REFUSED) {
        tenant->quota_unsure = false;
        return;
    }
    if (word == TENANT_ASKED || tenant->quota_ms != 0)
        tenant->looser =
            (Resources){looser_of(tenant->looser.cpu_milli, quota.cpu_milli),
                        looser_of(tenant->looser.mem_mb, quota.mem_mb), looser_of(tenant->looser.gpu, quota.gpu)};
    else
        tenant->looser = quota;
    tenant->quota_unsure = word == TENANT_ASKED;
    if (word != TENANT_IN)
        return;
    tenant->quota = quota;
    tenant->quota_ms = checker_now(checker);
}

/* What of the tenant runs on all workers, each attempt for itself: copies, and attempts that the leader has given up
 * but whose worker runs on. What is on a machine that stands still does not run. */
static Resources used_by(Checker *checker, const char *cell, const char *name)
{
    Resources used = {0};
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        const Job *known = job->settled ? NULL : checker->settings.job(checker->settings.arg, job->id);
        if (known == NULL || strcmp(known->spec.tenant, name) != 0 || strcmp(known->spec.cell, cell) != 0)
            continue;
        const char **tasks;
        const size_t task_count = map_keys(job->tasks, mem, &tasks);
        for (size_t t = 0; t < task_count; t++)
            for (const SeenRun *run = ((const SeenTask *)map_get(job->tasks, tasks[t]))->runs; run != NULL;
                 run = run->next)
                if (!checker->settings.frozen(checker->settings.arg, run->worker))
                    used = resources_add(used, run->resources);
    }
    talloc_free(mem);
    return used;
}

void quota_start(Checker *checker, const Job *job, Resources resources)
{
    SeenTenant *tenant = map_get(checker->tenants, job->spec.tenant);
    if (tenant == NULL || tenant->quota_ms == 0)
        return;
    if (!tenant->quota_unsure && checker_now(checker) > tenant->quota_ms + CONFIG_LATE_MS)
        tenant->looser = tenant->quota;
    const Resources bound = tenant->looser;
    if (bound.cpu_milli == 0 && bound.mem_mb == 0)
        return;
    const Resources used = resources_add(used_by(checker, job->spec.cell, job->spec.tenant), resources);
    if ((bound.cpu_milli != 0 && used.cpu_milli > bound.cpu_milli) || (bound.mem_mb != 0 && used.mem_mb > bound.mem_mb))
        checker_broke(checker, INVARIANT_OVER_QUOTA, "%s runs %" PRIu64 " milli-CPU and %" PRIu64 " MB with %s",
                      job->spec.tenant, used.cpu_milli, used.mem_mb, job->spec.id);
}
