#ifndef BASE_CONSTANTS_H
#define BASE_CONSTANTS_H

/* Constants that several packages use. Some are the defaults of settings (settings/cluster_settings.h).
 *
 * The suffix of a name is its unit: _MS, _S, _BYTES, _PERCENT. Names without one are counts or plain factors unless the
 * comment gives the unit. Time spans are measured on CLOCK_BOOTTIME or on the simulator's clock, never in wall time. */

/* --- heartbeats and leases -------------------------------------------------------------------
 * After a leader's death, recovery takes LOCK_GRANT_MS, one election, one view change and AGENT_LEASE_MS; the sum is
 * below 12 s (docs/ha.md). */
#define HEARTBEAT_MS 500 /* Interval between an agent's heartbeats; six fit in its lease, so five may be lost */
/* An agent's lease; a lost worker's lease expires after this: "a few seconds at most" */
#define AGENT_LEASE_MS 3000
#define LOCK_GRANT_MS 1500 /* Longest time for which a voter grants the leader's lease */
/* Shortest time for which a voter grants the leader's lease; extended by observed delays and pauses */
#define LOCK_GRANT_MIN_MS 700
/* Part of the longest grant that the leader relies on: its clock may be 2% slow, a voter's 2% fast */
#define LOCK_LEASE_MS 1440
#define LOCK_RENEW_MS 350 /* Renewal interval; four fit in a lease; a voter that accepts appends renews with them */
/* Interval between renewals that carry what appends do not: the clock and the leader's name */
#define LOCK_NOTIFY_MS 1000
/* Wait of a controller after its first lost election, doubled after each further one up to ELECTION_BACKOFF_MAX_MS */
#define ELECTION_BACKOFF_MIN_MS 60
#define ELECTION_LOST_LOG_MS 5000 /* Minimum interval between log lines about lost elections */
/* Longest wait after a lost election; a random part of up to the same length is added */
#define ELECTION_BACKOFF_MAX_MS 500
/* Delay between one voter's candidacy and the next voter's; more than a round trip */
#define ELECTION_STAGGER_MS 120
/* Time that the other voters leave to the successor that the last leader named */
#define SUCCESSOR_WAIT_MS 600
#define ORDER_LIFETIME_MS 2000 /* Lifetime of an order: an agent refuses an older one */
/* Age at which an order has expired by any clock, even one that is 2% slow */
#define ORDER_EXPIRED_MS (ORDER_LIFETIME_MS + ORDER_LIFETIME_MS / 50 + LEASE_SLACK_MS)
/* A worker gets no new work when its agent's heartbeat is overdue for longer than usual and for at least this long.
 * A lost datagram or one turn of a busy process takes less. */
#define HEARTBEAT_OVERDUE_MIN_MS 150
/* If more than 1 in this many workers is overdue at the same time, it is the leader that paused */
#define OVERDUE_WORKERS_DIVISOR 2
/* A worker whose report is overdue for longer than usual and for at least this long is silent. Busy workers were
 * seen to take 300 ms now and then. */
#define REPORT_OVERDUE_MIN_MS 400
#define WORKER_POLL_WAIT_MS 400 /* Longest time for which an agent holds its worker's poll open */
/* Time for which a heartbeat is held open for orders; with the round trip, one per HEARTBEAT_MS */
#define HEARTBEAT_WAIT_MS 450
/* An agent's heartbeats in flight: one waits for orders, the others carry updates */
#define HEARTBEATS_IN_FLIGHT_MAX 4
/* A worker that has not polled for this long, in addition to the length of a poll, gets no new work */
#define WORKER_SILENT_MS 1200
/* Time for which a poll that reports ended attempts is held: the worker's next report waits for its answer */
#define WORKER_ENDS_POLL_WAIT_MS 50
/* Delay of a worker's next poll, for which an order may wait; a poll costs about as much time */
#define WORKER_NEXT_POLL_MS 50
#define WORKER_LOST_MS 3000 /* A silent worker's attempts are lost after this, once its lease has expired */
/* Updates in one report of an agent: a worker's longest list of ended attempts */
#define REPORT_UPDATES_MAX 500
#define CHANGE_UPDATES_MAX 1000 /* Updates on attempts in one change */
/* The update that an attempt runs waits this long to be committed together with others */
#define RUNNING_UPDATE_DELAY_MS 200
/* Ended attempts that an agent keeps for repair: two minutes at 34 a second */
#define ENDED_ATTEMPTS_KEPT_MAX 4096
/* Bytes of an order in an answer, as JSON, beside its texts: task and attempt numbers, quotes, brackets and keys */
#define ORDER_FRAME_BYTES 256
/* Bytes of texts in the starts of one answer of the leader; the others follow at once */
#define ORDERS_BYTES_MAX (4 * 1024 * 1024)
#define WORKER_STARTS_MAX 16 /* Ended boots of its worker that an agent recognises */
/* Work whose owner allows copies is started again once its worker has been silent for this long */
#define COPY_SILENT_MS 1500
/* A worker's steady clock may be this slow, so leases that are passed on are shorter */
#define CLOCK_SLOW_PERCENT 2
#define LEASE_SLACK_MS 50 /* Added by the leader when it measures a lease, for the granularity of timers */

/* --- requests between processes -------------------------------------------------------------- */
#define REQUEST_TIMEOUT_MS 800 /* Deadline of an ordinary request; shorter than the leader's lease */
#define APPEND_TIMEOUT_MS 1500 /* A voter that does not sync an append within this leaves the view */
/* Interval at which the leader checks its voters, and a voter whether there is a leader */
#define LEADER_CHECK_MS 100
/* A voter that has not synced within this leaves the view if the others suffice */
#define VOTER_SYNC_LATE_MS 400
#define DISK_RETRY_MS 300 /* First interval between attempts to write to a disk that refused a write */
/* Longest interval between such attempts; doubled after each failure, as a loss may be over within 4 s */
#define DISK_RETRY_MAX_MS 2500
#define DISK_HEALTHY_MS 10000 /* A disk that has accepted writes for this long is healthy again */
#define VOTER_SLOW_MS 500     /* A voter that takes longer than this to sync is slow and delays every caller */
#define VOTER_SLOW_SYNCS 3    /* Slow syncs in a row after which a voter leaves a view of three */
/* Time for the other voters to answer once a majority has; those that answer later join afterwards */
#define POLL_GRACE_MS 60
#define ELECTION_STEP_TIMEOUT_MS 1200 /* Deadline of one step of an election */
/* Time for which a request for orders alone is held open; below ORDER_LIFETIME_MS / 2 */
#define ORDERS_FETCH_WAIT_MS 900
#define CONFIG_WATCH_WAIT_MS 2000 /* Time for which an entry point's request for a new configuration is held open */
/* After the loss of the leader, a request that no process accepted waits this long for another route */
#define LEADER_WAIT_MS 150
#define ELECTION_MS 3000 /* A new leader is normally found within this */
/* Expected length of an outage of the leader until one has been observed: callers come back after it */
#define OUTAGE_EXPECTED_MS 1000
/* A process that was paused for this long reads requests whose callers may have turned to another process */
#define PAUSE_MIN_MS 500
#define PAUSE_BACKLOG_MS 200     /* Time after a pause within which all that arrived during it is read */
#define FORWARD_DEADLINE_MS 8000 /* An entry point gives up a request after this */
#define SUBMIT_TIMEOUT_MS 5000   /* A change that is not committed within this has an unknown outcome */
#define CONNECT_TIMEOUT_MS 600   /* A connection that takes longer than this to open has failed */
/* A connection without acknowledgements for this long ends: the peer's machine is cut off */
#define CONNECTION_ACK_TIMEOUT_MS 4000
/* A connection that is idle for this long is probed: a machine that is cut off sends nothing */
#define CONNECTION_KEEPALIVE_IDLE_S 3
#define CONNECTION_KEEPALIVE_INTERVAL_S 1 /* Interval between probes */
#define CONNECTION_KEEPALIVE_PROBES 3     /* Unanswered probes after which the connection ends */
/* Unanswered requests in a row after which a new connection is opened */
#define CONNECTION_TIMEOUTS_MAX 2
/* A request that a just restarted peer has not answered for this long went to its previous incarnation */
#define CONNECTION_STALE_MS 200

/* --- membership ------------------------------------------------------------------------------ */
#define HELLO_MS 500 /* Interval between hellos of a process that looks for the others */
/* Interval between hellos of a process that a controller contacts anyway; half of MEMBER_SILENT_MS */
#define HELLO_SETTLED_MS 2000
/* Interval between hellos to each seed, in case the controllers were replaced unnoticed */
#define HELLO_SEED_MS 10000
#define MEMBER_SILENT_MS 4000 /* A member not heard from for this long counts as silent */
/* A silent member is dropped from the table after this: ten minutes of absence */
#define MEMBER_FORGET_MS 600000
/* Interval at which a controller asks every member; those that answer it can reach */
#define CONTACT_INTERVAL_MS 2000
#define HELLO_ATTEMPTS 3 /* Attempts to ask a member; the third is answered before the member counts as silent */
/* A voter that reaches over this many members more than the leader is the better leader */
#define REACH_MARGIN 3
#define REACH_HANDOVER_MS 2000 /* Time for which another voter must be the better leader before it takes over */
/* A silent member is contacted as often as the others for this long, since partitions heal */
#define SILENT_CONTACT_MS 60000
/* After SILENT_CONTACT_MS a silent member is contacted once in this many intervals */
#define SILENT_CONTACT_DIVISOR 8
#define MEMBERS_MAX 512     /* Bound on the rows of a member table */
#define CONTROLLERS_MAX 64  /* Controllers that have rows in a full member table, besides MEMBERS_MAX */
#define PARTIAL_VIEW_MAX 16 /* Members in a partial view, besides the controllers */
/* A member that has been silent for longer than this leaves the partial view */
#define PARTIAL_VIEW_FORGET_MS 60000
#define PARTIAL_VIEW_SAMPLE 3 /* Members of its partial view that a controller names in each request to a member */
/* A seed keeps a process that asked it for this long: controllers hear of it meanwhile */
#define SEED_REQUESTER_KEEP_MS 10000
#define FOUNDING_WAIT_MS 1500 /* Three empty disks must see each other for this long before they found a cluster */
/* Delay from a founder's start to its candidacy: the others have started by then */
#define FOUNDER_CANDIDACY_DELAY_MS 600
#define MEMBERSHIP_CHECK_MS 200 /* Interval at which the leader checks whether the list of voters must change */
/* Interval of that check while a learner is not ready yet, or when one change follows another */
#define MEMBERSHIP_CHECK_SHORT_MS 30
#define LEARNERS_MAX 4 /* Learners that follow the log at a time: each costs a copy of the log */
/* A learner gets the entries of such an interval in one append, since nobody waits for it */
#define LEARNER_APPEND_INTERVAL_MS 100
#define VOTE_HANDOVER_MS 700 /* Two renewals: within this a learner that leaves hears that it was given the vote */
/* A leaving voter waits 1 in this many of its grace period for its vote to pass on */
#define VOTE_LEAVE_DIVISOR 2
/* A learner that is not ready within this makes way for another: copying megabytes takes a second */
#define LEARNER_READY_TIMEOUT_MS 2500
#define VOTER_OUT_OF_VIEW_MS 1000 /* Minimum time out of the view for a voter that left it for being late */
/* A controller that is no longer a voter does not propose itself for this long */
#define EX_VOTER_REST_MS 5000
#define VOTER_REPLACE_MS 15000 /* Default of the setting: a lost voter is replaced within this */
/* A silent voter is replaced after 1 in this many of VOTER_REPLACE_MS: the replacement takes the rest */
#define VOTER_SILENT_DIVISOR 2

/* --- log and disk ---------------------------------------------------------------------------- */
#define LOG_SNAPSHOT_ENTRIES 4000 /* Entries after which the journal is rewritten as a snapshot */
/* Bytes after which the journal is rewritten as a snapshot: some 25 large configurations; sent in 0.5 s */
#define LOG_SNAPSHOT_BYTES (8 * 1024 * 1024)
/* Largest state of which a snapshot is made: memory would not hold both if it were larger */
#define SNAPSHOT_MAX_BYTES (48 * 1024 * 1024)
/* Size of the state from which no job is accepted: the rest is for what the accepted ones add */
#define STATE_FULL_BYTES (40 * 1024 * 1024)
/* Minimum interval between measurements of a full state, each of which serializes it */
#define STATE_MEASURE_INTERVAL_MS 10000
#define SNAPSHOT_SINGLE_BYTES (2 * 1024 * 1024) /* A snapshot of up to this size is sent in one message */
#define SNAPSHOT_PIECE_BYTES (1024 * 1024)      /* Size of the pieces of a larger snapshot: 40 ms each at 200 Mbit/s */
#define LOG_BATCH_BYTES (512 * 1024)            /* Maximum size of one append */
#define LOG_BATCH_ENTRIES 256                   /* Maximum number of entries in one append */
#define JOURNAL_WRITE_BYTES (16 * 1024 * 1024)  /* Maximum size of one write of the leader to its own journal */
/* Entries by which the leader goes back when it asks a voter whose log differs again */
#define LOG_BACK_STEP 64
#define RECORD_MAX_BYTES (64 * 1024 * 1024) /* A journal record larger than this is corruption */
/* Delay after a sync until its position is written to the hint: one more write per second */
#define JOURNAL_HINT_MS 1000
#define JOURNAL_OPEN_RETRY_MS 3000 /* Time for which a disk that refuses writes at the start is tried again */
/* A damaged journal smaller than this is kept beside the new one */
#define JOURNAL_DAMAGED_KEEP_BYTES (16 * 1024 * 1024)
#define HISTORY_LOG_INTERVAL_MS 1000 /* Minimum interval between log lines about orders to drop committed entries */
/* Time for which restarted voters wait for others: every step together must end within 12 s */
#define RESTARTED_VOTERS_WAIT_MS 3000
#define REPAIR_TIMEOUT_MS 1500 /* Time for processes that have what the disks lost to send it again */
/* A leader that has just started repairs no sooner than this: until then the connections of other processes to its
 * previous incarnation may be silent. */
#define REPAIR_START_DELAY_MS (CONNECTION_TIMEOUTS_MAX * REQUEST_TIMEOUT_MS + 2 * HELLO_MS)
#define REPAIR_COPIES 2 /* Entry points, in different zones, that keep a change for repair */
/* Deadline for an entry point to keep a change for repair, for which a caller waits */
#define REPAIR_COPY_TIMEOUT_MS 100
/* Size of one node's repair buffer: some 5,000 jobs; bounded, because memory costs money */
#define REPAIR_BUFFER_BYTES_MAX (4 * 1024 * 1024)
#define REPAIR_KEEP_MS 120000 /* Time for which entry points and agents keep acknowledged changes for repair */
/* A leader that reached few members does not propose itself for this long, so that another leads */
#define LOW_REACH_REST_MS 10000

/* --- jobs ------------------------------------------------------------------------------------ */
#define JOB_KEEP_MS 3600000 /* An ended job is kept for an hour: an id sent again within it still counts once */
#define JOBS_FORGET_INTERVAL_MS 1000 /* Minimum interval between removals of ended jobs: each costs a change */
#define EARLY_CANCELS_MAX 32768      /* Recorded cancellations of jobs that are not known yet: 4 MB */
#define JOB_TASKS_MAX 10000          /* Tasks in one job */
#define JOB_STEPS_MAX 64             /* Steps in one job: a bit for each fits in 64 */
/* Longest span in a job: a year; longer ones are mistakes */
#define JOB_SPAN_MAX_MS (INT64_C(366) * 24 * 3600 * 1000)
#define JOB_BODY_MAX (256 * 1024) /* One job's JSON, in bytes */
/* Size of a configuration, in bytes: some 5,000 queues, which a controller checks in 0.15 s */
#define CONFIG_BODY_MAX (2 * 1024 * 1024)
/* A larger configuration is not forwarded: this size takes 130 ms on a 2 Mbit/s link, each way */
#define CONFIG_LARGE_BYTES (32 * 1024)
#define CONFIG_NOTE_MAX (64 * 1024)   /* Operator's note on a queue, a kind or the entire configuration, in bytes */
#define CONFIG_PATH_MAX 1024          /* Host, prefix or path, in bytes; longer ones are mistakes */
#define CONFIG_KEY_MAX 256            /* A tenant's key, in bytes; longer ones are mistakes */
#define CONFIG_WEIGHT_MAX 1000000     /* A tenant's weight; larger ones are mistakes */
#define CONFIG_SPAN_MAX_MS 1000000000 /* Longest span: eleven days; longer ones are mistakes */
#define CONFIG_BYTES_MAX (1024 * 1024 * 1024) /* Limits in bytes; larger ones are mistakes */
/* Latency target as a multiple of the longest chain of work; larger ones are mistakes */
#define CONFIG_STRETCH_MAX 1000
#define CONFIG_HISTORY_VERSIONS 200 /* Versions that can be read back, as far as CONFIG_HISTORY_BYTES allow */
/* Versions whose calls are recognised when they are repeated: ten a second for 100 s */
#define CONFIG_VERSIONS_KNOWN 1000
#define CONFIG_HISTORY_STEP 50             /* Configuration versions that are dropped at a time */
#define CONFIG_HISTORY_BYTES (1024 * 1024) /* Size of the texts and patches kept beside one complete text */
#define ID_MAX 96                          /* Name of a job, tenant or worker, in bytes */
/* Failed attempts after which a task fails, unless its owner sets another number */
#define ATTEMPTS_DEFAULT 3
#define ATTEMPTS_MAX 100 /* Largest number of attempts that an owner may set */
/* Waiting tasks in one cell's queues beyond which jobs are refused with 503 */
#define QUEUE_LIMIT_DEFAULT 20000
/* A protected start that breaks the plan waits for this long, then runs unassured */
#define PROTECTED_START_WAIT_MS 2000
#define PLANNER_PASS_INTERVAL_MS 250 /* Interval of the planner's passes while nothing changes */
#define GANG_REPAIR_INTERVAL_MS 1000 /* Interval between searches for gangs that a loss of disks has split */
#define STARTS_PER_CHANGE_MAX 128    /* Starts decided in one change */
#define ATTEMPTS_LOST_MAX 10000      /* Attempts that disks may have lost; a larger number is a mistake */
/* Wait before a failed task is retried, doubled with each failure; short: targets are 1 or 2 s, and it restarts
 * elsewhere */
#define RETRY_BACKOFF_MIN_MS 50
#define RETRY_BACKOFF_MAX_MS 8000 /* Longest wait before a failed task is retried */
/* Wait before a refused task is retried: by then a heartbeat or a start shows more of its worker */
#define REFUSED_BACKOFF_MS 200
#define LASTING_STABLE_MS 5000      /* A lasting task that ran for this long has not failed immediately */
#define LASTING_BACKOFF_MAX_MS 2000 /* Longest wait before a lasting task that fails repeatedly is started again */
#define LIST_PAGE_DEFAULT 100       /* Jobs on one page of a list, by default */
#define LIST_PAGE_MAX 1000          /* Jobs on one page of a list, at most */
#define RESOURCES_MAX 100000000ULL  /* Largest amount, in milli-CPU, MB or units; larger ones are mistakes */

/* --- latency targets and estimates ----------------------------------------------------------- */
/* Run time after which an attempt's progress is first reported; a short task's is not */
#define PROGRESS_FIRST_MS 700
/* Newest ratios of actual to estimated time of which a median is computed: older ones say little */
#define ESTIMATE_RATIOS 32
#define ESTIMATE_ENDS_MIN 5 /* Ended attempts before a step's estimate is corrected */
/* Recent ratios of one worker; fewer than ESTIMATE_RATIOS, as a worker turns slow within seconds */
#define ESTIMATE_FRESH_RATIOS 9
#define ESTIMATE_FRESH_MIN 3 /* Recent ratios below which a worker's own median is not used */
/* Age up to which a ratio counts as recent: slow spells of workers are as short as this */
#define ESTIMATE_FRESH_MS 4000
#define ESTIMATE_POOL_RATIOS 64  /* Ratios of all workers: enough that no single worker decides */
#define ESTIMATE_RATIO_MAX 20000 /* A worker slower than this, in thousandths, is stalled */
/* Lower bound of a worker's usual slowdown, in thousandths: workers differ by a quarter either way */
#define ESTIMATE_SLOWDOWN_MIN 600
/* With estimates off by up to half, a slowdown beyond this, in thousandths, is a slow spell */
#define ESTIMATE_SLOWDOWN_MAX 1700
#define STALLED_PERCENT 15 /* An attempt without progress while this share of its work was due is stalled */
/* Minimum time without progress of a stalled attempt: resuming from saved progress begins with a pause */
#define STALLED_MIN_MS 1000
#define PROGRESS_REPORTS_MIN 16 /* Progress reports before their absence counts, since some workers send none */
/* Interval between searches for attempts that are better restarted elsewhere */
#define SLOW_ATTEMPT_CHECK_MS 200
#define SLOW_RESTART_GAIN 2.5 /* Factor by which a restart elsewhere must be faster */
/* Minimum time saved by such a restart, which costs a stop, a start and discarded work */
#define SLOW_RESTART_COST_MS 1000
/* A leaving worker's attempts are stopped this long before it leaves, so that progress is saved */
#define LEAVE_STOP_MARGIN_MS 1500
#define LEAVE_START_TIMEOUT_MS 300 /* An order that a leaving worker has not started within this is withdrawn */
#define LEAVE_STOPS_MAX 32         /* Attempts taken off leaving workers in one pass */
#define SLOW_STOPS_MAX 4           /* Attempts restarted elsewhere in one pass */
#define SLOW_ATTEMPTS_MAX 5        /* Attempts of a task after which it is no longer restarted elsewhere */
#define TARGET_LATE_TIMES 3        /* Up to this many times its latency target a job still has some value */
/* A target missed by less than this share of the remaining work may still be met: estimates are rough */
#define TARGET_TOLERANCE_PERCENT 25
/* A target this much farther off weighs 2.7 times less: about one task's time */
#define TARGET_HORIZON_MS 2000
#define TARGET_PRIORITY_RANK 1.4 /* Rank per step of a queue's priority; one step weighs 4 times more */
/* Rank of a nearly done job above one not begun, as capacity is well spent on it */
#define TARGET_BEGUN_RANK 1.0
#define TARGET_LATE_RANK (-1.5)         /* Rank of a job that is late: a fifth of the value */
#define TARGET_WORTHLESS_RANK (-1000.0) /* Rank of a job without any value left: it goes last */
/* Bands per unit of rank; ranks within one band count as equal, so that tenants take turns */
#define TARGET_RANK_BANDS 4.0
#define TARGET_WAVE_DIVISOR 4 /* A step wider than 1 in this many of the fleet's capacity runs in waves */

/* --- scores of workers that claim to be healthy ---------------------------------------------- */
#define FAILURE_WEIGHT_PERCENT 25 /* Weight of the newest attempt in a worker's failure rate */
/* Above this failure rate, and after FAILURE_JOBS, a worker gets no work for a while */
#define FAILURE_EJECTION_PERCENT 60
/* Different jobs in a row that failed on the worker, since one bad job does not make a bad worker */
#define FAILURE_JOBS 3
#define EJECTION_MIN_MS 10000  /* First ejection of a worker, doubled with each further one */
#define EJECTION_MAX_MS 300000 /* Longest ejection of a worker */
/* Half-life of a rate without new attempts, so that every worker is tried again */
#define SCORE_HALF_LIFE_MS 10000
#define EJECTED_WORKERS_DIVISOR 4 /* At most 1 in this many of the fleet's workers is ejected at the same time */

/* Weight of a slow attempt; concurrent attempts count as one sign, so signs are few */
#define SLOW_WEIGHT_PERCENT 50
#define SLOW_SIGNS 2           /* Slow attempts of different jobs before a worker counts as slow */
#define SLOW_TIMES 3           /* An attempt that takes this many times its step's median is slow */
#define SLOW_MEDIAN_MIN 4      /* Other attempts of the step that a median needs */
#define SLOW_MEDIAN_MAX 64     /* Other attempts that are examined for a median: a step may have thousands */
#define SLOW_MEDIAN_MIN_MS 200 /* A median below this is not used: the round trip takes as long */

/* --- planner --------------------------------------------------------------------------------- */
/* Loss sequences that are walked one by one; with more, the cheap bound is used */
#define PLAN_EXHAUSTIVE_MAX 400
#define PLAN_LOSSES_MAX 4 /* Worker losses that a plan may be asked to survive */
/* Interval at which the plan is computed for display where it need not survive any loss */
#define PLAN_CHECK_MS 1000
/* Weight of a worker's extra run time, which is subtracted from its free capacity when workers are compared */
#define CHOICE_SLOWDOWN_WEIGHT 2
#define CHOICE_GPU_COST 500 /* Cost of a worker's GPU to work that needs none, in thousandths of a worker */
/* Gain of placing a step's tasks together, in thousandths of a worker. It is more than a worker's entire capacity, and
 * less than the penalty of a worker that is slow or fails its work. */
#define CHOICE_TOGETHER_GAIN 1000
#define LOCALITY_WAIT_MS 1500 /* Longest wait for capacity near the data: half of the 3 s that work may stand still */

/* --- capacity reserved for large work -------------------------------------------------------- */
/* Work that must be running within this has capacity reserved as it becomes free */
#define CAPACITY_RESERVE_SLACK_MS 3000
/* At most 1 in this many parts of the fleet's capacity is reserved for such work */
#define CAPACITY_RESERVE_DIVISOR 3
/* Work that no other worker can run waits this long for an ejected one. Below the three seconds for which work may
 * stand still beside free capacity */
#define EJECTED_WAIT_MS 1500
#define RESERVATION_WAIT_MS 10000 /* Work that fits an entire worker but no gap for this long has a worker reserved */
/* Minimum wait for a reservation of work with a latency target, which otherwise waits an eighth of its span */
#define RESERVATION_WAIT_MIN_MS 300
#define RESERVATION_WORKERS_DIVISOR 4 /* At most 1 in this many of the fleet's workers is reserved at the same time */
#define ZONE_ORDERS_MAX 16            /* Orders for a zone that are recognised when they are sent again */
#define RESERVATION_MEMBERS_MAX 64    /* Workers reserved for one gang */

/* --- policies and preemption ----------------------------------------------------------------- */
#define LUA_STEPS_MAX 20000        /* Instructions of one call of a policy: some 0.2 ms */
#define LUA_STEPS_INTERVAL 100     /* Instructions between two updates of their count */
#define LUA_BYTES_MAX (512 * 1024) /* Memory of one policy, in bytes */
/* Duration of a stop: it arrives with the worker's next report, takes a moment, and is reported */
#define STOP_DURATION_MS 300
#define REMAINING_TIME_MIN_MS 50 /* Minimum of the expected time to the end of a running attempt */
#define PREEMPT_DURATION_MS 600  /* Time from a preemption until the capacity is used: a stop and a start */
/* Work that must be running within this may preempt: preemption takes most of it */
#define PREEMPT_SLACK_MS 900
/* A preemption throws away at most this many times the work that it makes room for */
#define PREEMPT_COST_FACTOR 2
#define PREEMPT_VICTIMS_MAX 4 /* Attempts preempted for one task */
#define PREEMPT_CHECK_MS 100  /* Interval between searches for attempts to preempt */
#define PREEMPT_TASKS_MAX 32  /* Running tasks considered for one task that needs capacity */

/* --- process --------------------------------------------------------------------------------- */
#define TASK_STACK_BYTES (192 * 1024) /* Stack of a coroutine: JSON and printf fit, also under ASan */
/* Stacks of ended coroutines kept for reuse; a burst allocates its own */
#define TASK_STACKS_IDLE_MAX 24
#define FRAME_MAX_BYTES (32 * 1024 * 1024)     /* Largest message: a complete snapshot (SNAPSHOT_SINGLE_BYTES) fits */
#define CHANNEL_QUEUE_BYTES (96 * 1024 * 1024) /* Unsent bytes beyond which the connection ends */
#define CHANNEL_BUFFER_KEEP_BYTES (32 * 1024)  /* A buffer that grew beyond this for one frame is freed */
#define CHANNEL_QUEUE_FRAMES 4096              /* Unread frames beyond which the connection ends */
#define HTTP_BODY_MAX (2 * 1024 * 1024)        /* Body of a request, in bytes: a configuration fits (CONFIG_BODY_MAX) */
#define HTTP_HEAD_MAX (32 * 1024)  /* Head of a request with its path, in bytes: far more than any caller sends */
#define HTTP_HEAD_TIMEOUT_MS 5000  /* A head must be complete this long after it has begun */
#define HTTP_IDLE_TIMEOUT_MS 60000 /* A caller's connection without a request is closed after this */
#define HTTP_CONNECTIONS_MAX 3000  /* Connections of callers to one process at a time */
#define HTTP_TASKS_MAX 2048        /* Requests in flight at one address; further ones are refused */
#define LEADER_REQUESTS_MAX 2048   /* Callers' requests in progress at the leader, from all entry points */
#define LEADER_REQUEST_BYTES_MAX (16 * 1024 * 1024) /* Size of their bodies */
#define MEMORY_DEFAULT_MB 512                       /* Memory of a machine whose settings do not state it */
#define MEMORY_MIN_MB 32                            /* Smallest memory that settings may state */
#define MEMORY_MAX_MB (1024 * 1024)
#define TRACE_EVENTS 2048       /* Steps of changes that a node keeps: minutes at today's loads */
#define RECORDER_LINES 256      /* Lines in the flight recorder */
#define RECORDER_LINE_BYTES 200 /* Size of a line of the flight recorder; a longer one is truncated */
#define RECORDER_NOTES_BURST 20 /* Notes written in one burst, so that a change of leader is logged in full */
/* After a burst, one note is written per interval, since a line costs processor time */
#define RECORDER_NOTE_INTERVAL_MS 500
#define RETRY_AFTER_S 1     /* Sent with a 503: the request may be sent again after this */
#define RETRY_ELECTION_S 2  /* Sent when no leader serves: a new one is found within 2 to 3 s */
#define RETRY_OVERLOAD_S 5  /* Sent when too many tasks wait: some of them have run by then */
#define DRAIN_MS 3000       /* Time limit of a shutdown by SIGTERM, during which the process is not ready */
#define DRAIN_MARGIN_MS 100 /* Part of DRAIN_MS left for the end of the process */
#define DRAIN_CHECK_MS 10   /* Interval between checks whether the last request has been answered */
#define DRAIN_IDLE_MS 1000  /* A shutdown closes a connection that was idle for this: it may be used */

/* --- formats --------------------------------------------------------------------------------- */
#define WIRE_VERSION 1    /* Version of frames; peers ignore trailing fields that they do not know */
#define JOURNAL_VERSION 1 /* Version of journal records */

#endif
