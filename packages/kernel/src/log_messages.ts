/**
 * The numbered messages that a VM writes to its log.
 *
 * Numbers are stable: 1xxx concern the process and its settings, 2xxx the declarations and the
 * store, 3xxx other VMs, 4xxx targets, 5xxx requests. A withdrawn number is not reused. The
 * operators' page `docs/operators/log_messages.md` is generated from this table.
 */

/** Levels of severity, lowest first. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** One message of the table. */
export interface LogMessage {
  readonly code: number;
  readonly level: LogLevel;
  readonly text: string;
  /** Meaning of each field. */
  readonly fields: Readonly<Record<string, string>>;
}

export const LogMessages = {
  started: {
    code: 1001,
    level: "info",
    text: "Started.",
    fields: {
      dataCentre: "Data centre of this VM.",
      firstStart: "Whether this is the first start of the whole system.",
      seeds: "Addresses of the seed VMs, through which this VM discovers the others.",
    },
  },
  stopping: {
    code: 1002,
    level: "info",
    text: "Stopping.",
    fields: { signal: "Signal that requested the stop." },
  },
  drained: {
    code: 1003,
    level: "info",
    text: "Draining of caller requests has ended.",
    fields: { running: "Requests that were still running and are aborted." },
  },
  stopped: { code: 1004, level: "info", text: "Stopped.", fields: {} },
  startFailed: {
    code: 1005,
    level: "error",
    text: "The start failed, and the process ends.",
    fields: { error: "The error, such as an address that is in use." },
  },
  settingsReloaded: {
    code: 1101,
    level: "info",
    text: "The settings were reloaded.",
    fields: { seeds: "Addresses of the seed VMs, through which this VM discovers the others." },
  },
  settingsRejected: {
    code: 1102,
    level: "error",
    text: "The new settings are invalid; the current settings remain in effect.",
    fields: { error: "What is wrong and where in the file." },
  },
  settingsUnreadable: {
    code: 1103,
    level: "warn",
    text: "The settings file cannot be accessed.",
    fields: { error: "Error of the file system." },
  },
  optionsReloaded: {
    code: 1104,
    level: "info",
    text: "The operators' options were read.",
    fields: {
      maxExtraShare: "Extra attempts allowed for each request of a service by hedging; 0: none.",
      services: "The same for single services, as JSON text.",
      explainPlacement: "Whether `hemlockctl explain-placement` gets answers.",
    },
  },
  optionsRejected: {
    code: 1105,
    level: "error",
    text: "The operators' options are invalid; those in force, or the defaults, remain in effect.",
    fields: { error: "What is wrong and where in the file, by numbered findings." },
  },
  standstill: {
    code: 1201,
    level: "warn",
    text: "This VM stood still; requests with a rate limit wait for the reports of other VMs.",
    fields: { milliseconds: "Time without a refill of the budgets." },
  },
  errorCaught: {
    code: 1901,
    level: "error",
    text: "An unexpected error was caught.",
    fields: { error: "The error and where it was thrown." },
  },
  declarationsApplied: {
    code: 2001,
    level: "info",
    text: "Declarations were applied.",
    fields: {
      version: "Version of the declarations.",
      from: "Source of the declarations: `store`, or `peer` for another VM.",
    },
  },
  declarationsRejected: {
    code: 2002,
    level: "error",
    text: "The published declarations are invalid; the current declarations remain in effect.",
    fields: { revision: "Revision of the store.", error: "What is wrong with the declarations." },
  },
  storeUnavailable: {
    code: 2101,
    level: "warn",
    text: "The store is unavailable.",
    fields: {
      failure: "How the call failed.",
      era: "Era of the store that this VM has read last.",
      asOf: "Latest revision of that era that this VM has read.",
    },
  },
  storeAvailable: {
    code: 2102,
    level: "info",
    text: "The store is available again.",
    fields: { silentMilliseconds: "Time without a response to any VM." },
  },
  storeRestored: {
    code: 2103,
    level: "warn",
    text: "The store was restored from a backup.",
    fields: {
      era: "Era of the store that is in force now.",
      previousEra: "Era that this VM had read last; absent if it had not read any.",
      revision: "Revision of the new era that was read.",
      outdated: "Targets known from earlier eras; they stay in use until they can be back.",
    },
  },
  storeEraEarlier: {
    code: 2104,
    level: "error",
    text: "A response of the store has an earlier era; the current state remains in effect.",
    fields: {
      stated: "Era that the response states; absent if it states none.",
      known: "Latest known era.",
    },
  },
  storeEraInvalid: {
    code: 2105,
    level: "error",
    text: "A response of the store states an invalid era; the current state remains in effect.",
    fields: { stated: "What the response states in place of a whole number." },
  },
  storeReadingChanged: {
    code: 2106,
    level: "info",
    text: "This VM has begun or ceased to read the store for the fleet.",
    fields: {
      reason: "`ranked`, `stale`, `taken_over`, or `none` once it has ceased (OPERATIONS.md).",
      confirmedAge: "Milliseconds since the latest response of the store to any VM.",
    },
  },
  evacuationOrdered: {
    code: 2201,
    level: "warn",
    text: "A data centre is evacuated; no further requests are sent to its targets.",
    fields: {
      dataCentre: "The data centre.",
      era: "Era of the store.",
      revision: "Revision of the order in that era.",
      from: "Source of the order: `store`, or `peer` for another VM.",
    },
  },
  evacuationWithdrawn: {
    code: 2202,
    level: "info",
    text: "The evacuation of a data centre has ended; its targets receive requests again.",
    fields: {
      dataCentre: "The data centre.",
      era: "Era of the store.",
      revision: "Revision of the withdrawal in that era, or of the read that lacked the order.",
      from: "Source of the withdrawal: `store`, or `peer` for another VM.",
      milliseconds: "Time for which this VM held the order.",
    },
  },
  evacuationUnknown: {
    code: 2203,
    level: "warn",
    text: "An order evacuates a data centre in which there is no target; it has no effect yet.",
    fields: { dataCentre: "The data centre." },
  },
  evacuationInvalid: {
    code: 2204,
    level: "warn",
    text: "An order to evacuate is invalid and is ignored; the current orders remain in effect.",
    fields: { from: "Source: `store`, or `peer` for another VM.", error: "What is wrong." },
  },
  homeUnknown: {
    code: 2205,
    level: "warn",
    text: "The declarations limit requests to a region in which no data centre lies.",
    fields: { region: "The region.", version: "Version of the declarations." },
  },
  linkLost: {
    code: 3001,
    level: "info",
    text: "A link was lost.",
    fields: {
      peer: "VM at the other end.",
      role: "What the link was used for: `subscription`, `standby` or `bridge`.",
    },
  },
  reportUnreadable: {
    code: 3002,
    level: "warn",
    text: "A report from another VM cannot be decoded.",
    fields: { peer: "VM that sent or relayed the report.", error: "What is wrong with it." },
  },
  relayChanged: {
    code: 3003,
    level: "info",
    text: "This VM hears the others through another VM now.",
    fields: {
      relay: "Relay to which it has subscribed; its own name if it relays.",
      previous: "The one before; absent at the start.",
      silentMilliseconds:
        "Time since the one before had sent anything; absent without a link to it.",
    },
  },
  forwardRejected: {
    code: 3004,
    level: "warn",
    text: "A request that came as one that another VM had accepted was rejected.",
    fields: {
      from: "IP address of the sender.",
      reason: "`invalid_forward`, `unknown_peer` or `undeclared_forward`.",
      error: "What is wrong with the request.",
      count: "Requests rejected since the line before; there is one line a second at most.",
    },
  },
  targetChanged: {
    code: 4001,
    level: "info",
    text: "The state of a target has changed.",
    fields: {
      target: "The target.",
      state: "`ready`, `draining` or `gone`.",
      era: "Era of the store.",
      revision: "Revision of the store within its era.",
      from: "Source of the change: `store`, or `peer` for another VM.",
    },
  },
  targetUpdated: {
    code: 4008,
    level: "debug",
    text: "A target was added, or its entry has changed without its state.",
    fields: {
      target: "The target.",
      era: "Era of the store.",
      revision: "Revision of the store within its era.",
      from: "Source of the change: `store`, or `peer` for another VM.",
    },
  },
  invalidTargetEntry: {
    code: 4002,
    level: "warn",
    text: "A target entry of the store is invalid.",
    fields: { target: "Identifier of the entry.", error: "What is wrong with it." },
  },
  targetLeaving: {
    code: 4003,
    level: "info",
    text: "A target has announced that it leaves; it gets no further requests.",
    fields: {
      target: "The target.",
      startedAt: "Start of the incarnation that leaves, in Unix milliseconds; 0 if unknown.",
      from: "`response` if the target said so to this VM, `peer` if to another one.",
    },
  },
  targetPaused: {
    code: 4004,
    level: "info",
    text: "A target wants no requests from this VM for a time.",
    fields: {
      target: "The target.",
      stated: "Seconds that the target stated.",
      milliseconds: "Time for which it gets no requests.",
    },
  },
  targetPauseInvalid: {
    code: 4005,
    level: "warn",
    text: "A target rejected a request with an invalid Retry-After, which is ignored.",
    fields: { target: "The target.", stated: "What the target stated." },
  },
  targetRateStated: {
    code: 4006,
    level: "info",
    text: "A target has changed the rate that it accepts from all VMs together.",
    fields: {
      target: "The target.",
      startedAt: "Start of its incarnation, in Unix milliseconds; 0 if unknown.",
      requestsPerSecond: "The rate; absent if there is no limit any more.",
      from: "`response` if the target said so to this VM, `peer` if to another one.",
    },
  },
  targetRateInvalid: {
    code: 4007,
    level: "warn",
    text: "A target stated an invalid rate, which is ignored.",
    fields: { target: "The target.", stated: "What the target stated." },
  },
  targetCold: {
    code: 4009,
    level: "info",
    text: "A target is cold; all VMs together keep to the rate of its service until it is warm.",
    fields: {
      target: "The target.",
      milliseconds: "Time until it is warm, as announced.",
      requestsPerSecond: "The rate that its service declares for cold targets.",
    },
  },
  peerEvidenceIgnored: {
    code: 4103,
    level: "warn",
    text: "A VM has reported evidence that this VM does not know; it is ignored.",
    fields: { vm: "The VM that reported it.", evidence: "The first part that is not known." },
  },
  targetSuspected: {
    code: 4101,
    level: "info",
    text: "A target is suspected.",
    fields: {
      target: "The target.",
      sicknessBefore: "Estimated failure probability before.",
      sickness: "Estimated failure probability now.",
      cause: "Outcome of a call of this VM, or `told` for reports from other VMs.",
    },
  },
  targetRecovered: {
    code: 4102,
    level: "info",
    text: "A target has recovered.",
    fields: {
      target: "The target.",
      sicknessBefore: "Estimated failure probability before.",
      sickness: "Estimated failure probability now.",
      cause: "Outcome of a call of this VM, or `told` for reports from other VMs.",
    },
  },
  targetUnreachable: {
    code: 4201,
    level: "info",
    text: "A target is unreachable.",
    fields: {
      target: "The target.",
      timeoutMilliseconds: "Time after which the connection attempt was aborted.",
    },
  },
  targetReachable: {
    code: 4202,
    level: "info",
    text: "A target is reachable again.",
    fields: { target: "The target.", tests: "Test connections, the successful one included." },
  },
  pathLost: {
    code: 4203,
    level: "warn",
    text: "This VM reaches no target; other VMs serve its requests.",
    fields: { targets: "Targets that are known to accept requests." },
  },
  pathRestored: {
    code: 4204,
    level: "info",
    text: "This VM reaches targets again.",
    fields: { milliseconds: "Time for which it reached none." },
  },
  targetEnded: {
    code: 4301,
    level: "info",
    text: "A target has ended while it ran a request of this VM.",
    fields: {
      target: "The target.",
      startedAt: "Start of its incarnation, in Unix milliseconds; 0 if unknown.",
      fingerprint: "Fingerprint of the request, the same for each repetition of it.",
    },
  },
  requestQuarantined: {
    code: 4302,
    level: "warn",
    text: "A request is not sent to targets any more, since targets have ended under it.",
    fields: {
      fingerprint: "Fingerprint of the request.",
      targets: "Targets that have ended under it.",
      milliseconds: "Time until it is sent to a target again.",
    },
  },
  requestReleased: {
    code: 4303,
    level: "info",
    text: "A request is sent to targets again, since one has answered it successfully.",
    fields: { fingerprint: "Fingerprint of the request." },
  },
  requestEnded: {
    code: 5001,
    level: "info",
    text: "A request has ended.",
    fields: {
      request: "Identifier that the caller sent.",
      outcome: "`answered`, or the reason why the proxy itself ended the request.",
      status: "Status of the response; 0 if there was none.",
      steps: "Every decision about the request with its inputs, as JSON text.",
    },
  },
  tracesOmitted: {
    code: 5002,
    level: "info",
    text: "Stories of requests were left out.",
    fields: { count: "Requests that were not logged, to limit the volume of the log." },
  },
  connectionEnded: {
    code: 5003,
    level: "warn",
    text: "A caller's connection has ended with unanswered requests.",
    fields: {
      ending: "`announced` by a response, `failed` with an error, or `closed` by this VM.",
      stopping: "Whether this VM was stopping.",
      answered: "Responses that had been sent on the connection.",
      passedOn: "Unanswered requests that a target or another VM had received.",
      waiting: "Unanswered requests that had not been passed on and will not be.",
      unsentBytes: "Bytes of responses that were not handed to the network.",
    },
  },
  unexpectedRequestError: {
    code: 5901,
    level: "error",
    text: "A request failed unexpectedly.",
    fields: { error: "The error and where it was thrown." },
  },
} as const satisfies Record<string, LogMessage>;

/** The steps of a request trace: decisions about the request with their inputs. */
export const TraceSteps = {
  waited_for_turn: {
    milliseconds: "Time for which it, or its response if it ran ahead, waited for those before it.",
  },
  started_ahead: {
    before: "Requests before it on its connection that had no complete response yet.",
  },
  accepted: {
    route: "Route of the request.",
    service: "Service that was selected by the weights of the route.",
    workspace: "Workspace of the caller's key.",
    version: "Version of the declarations in force.",
    left: "Milliseconds left for the response, by the caller's deadline or the route's timeout.",
    confirmedAge: "Milliseconds since the latest response of the store to any VM.",
  },
  unknown: {
    finding: "What was not found in the declarations in force.",
    version: "Version of the declarations; absent if there are none yet.",
    confirmedAge: "As above; beyond 3,000 the response is 503, as other VMs may have newer data.",
  },
  over_rate: {
    workspace: "Workspace of the caller's key.",
    rate: "Its declared rate in requests per second.",
    burst: "Its declared burst.",
    level: "Tokens in the shared bucket, as estimated by this VM.",
    share: "Tokens that this VM may still take when the bucket is low.",
    vms: "VMs that are known to share the bucket.",
    bound: "demand (beyond the refill), unconfirmed (earlier tokens) or start (of the VM).",
    priority: "Priority of the route; more urgent requests of the workspace go first.",
    retryAfter: "Milliseconds after which the request should return.",
  },
  waits: { ahead: "Queued requests for the same service with the same or a more urgent priority." },
  placed: {
    target: "The target.",
    load: "Requests of all VMs that run on the target, as far as known.",
    slots: "Requests that the target can run concurrently.",
    sickness: "Estimated failure probability.",
    evidenceAge:
      "Milliseconds since the start of the latest call of any VM that showed its health.",
    lookAfter: "Whether the target was chosen as a probe of its health.",
    coldLeft: "Milliseconds until the target is warm; absent if it is.",
    confirmedAge: "Milliseconds since the latest response of the store to any VM.",
  },
  passed_on: {
    vm: "The VM that serves the request, since this one reaches no target.",
    attempts: "Targets to which that VM may send it.",
  },
  received: {
    service: "Service to which another VM has passed the request on.",
    attempts: "Targets to which this VM may send it.",
    left: "Milliseconds left for the response.",
  },
  rejected: {
    from: "IP address of the sender of a request that came as one that another VM had accepted.",
    error: "What is wrong with the request.",
  },
  peer_result: {
    vm: "The VM that the request was passed on to.",
    result: "`answered`, or why it did not serve the request.",
  },
  answered: { target: "The target.", status: "Status of its response." },
  not_run: {
    target: "The target.",
    reason: "How it is known that the request did not run.",
    status: "Status of the target's refusal, like the next ones absent if it did not arrive there.",
    named: "Whether the refusal names the request.",
    port: "Own port of the connection.",
    earlier: "Requests that were sent on the connection before.",
    repeated: "Whether this request was among them.",
  },
  failed: {
    target: "The target.",
    reason: "Why there is no complete response.",
    fingerprint: "Fingerprint of the request, the same for each repetition of it.",
    port: "Own port of the connection, like the next ones of a response that is not the request's.",
    earlier: "Requests that were sent on the connection before.",
    repeated: "Whether this request was among them.",
  },
  silent: {
    target: "The target that has not responded, and is waited for.",
    after: "Milliseconds since the start of the attempt.",
  },
  given_up: {
    target: "The target that may have been at work.",
    vm: "The VM that the request was passed on to, in place of a target.",
    reason:
      "`deadline`, `caller_left`, `cut_off`, `outlasted` or `invalid_request` (OPERATIONS.md).",
    ran: "Milliseconds for which the attempt ran.",
    left: "Milliseconds that were left for the response.",
    stopping: "Whether this VM had been asked to stop.",
  },
  retried: {
    retryLevel: "Share of the service's retry budget that was left.",
    running: "Attempts that still run and go on; absent if there are none.",
  },
  not_retried_yet: {
    reason: "Why no further target is tried at present while others run the request.",
    running: "Attempts that run.",
  },
  hedged: {
    target: "The second target, while the first one still runs the request.",
    after: "Milliseconds since the start of the first attempt.",
    sickness: "Estimated failure probability of the first target.",
    retryLevel: "Share of the service's retry budget that was left.",
  },
  hedge_withheld: {
    reason: "Why no second target was tried although the first one takes unusually long.",
    after: "Milliseconds since the start of the first attempt.",
    sickness: "Estimated failure probability of the first target.",
    retryLevel: "Share of the service's retry budget that was left.",
  },
  hedge_ended: {
    returned: "Attempt whose response is returned: `first`, `second` or `none`.",
    cancelled: "Whether the other attempt was cancelled while it ran.",
  },
  target_notice: {
    target: "The target.",
    leaving: "Whether its response said that it leaves.",
    retryAfter: "Seconds for which it wants no requests from this VM, as its rejection stated.",
    rateLimit: "Requests per second that it accepts from all VMs together, as stated.",
  },
  targets_paused: {
    pause: "Milliseconds until the first of the remaining targets accepts requests from this VM.",
    maxWait: "Milliseconds for which the request could wait.",
  },
  targets_limited: {
    wait: "Milliseconds until the first target accepts a request; absent if not foreseeable.",
    maxWait: "Milliseconds for which the request could wait.",
  },
  evacuated: {
    service:
      "Service of which every target that the request may use is in an evacuated data centre.",
  },
  outside_homes: {
    service: "Service that has no target in a region to which the request is limited.",
    homes: "Regions that its route and its workspace both allow, separated by commas.",
  },
  waits_for_rate: {
    workspace: "Workspace whose rate is decided once other VMs have been heard.",
  },
  held_at_start: {
    informed: "Whether declarations had arrived when the newly started VM resumed the request.",
  },
  quarantined: {
    fingerprint: "Fingerprint of the request.",
    targets: "Targets that have ended under it.",
    remaining: "Milliseconds until it is sent to a target again.",
  },
  no_retry_left: { retryLevel: "Share of the service's retry budget that was left." },
} as const;
