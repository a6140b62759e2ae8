/**
 * The table of what a VM writes to its log.
 *
 * Numbers are stable: 1xxx concern the process and its settings, 2xxx the declarations and the store,
 * 3xxx other VMs, 4xxx targets, 5xxx requests. A withdrawn number is not used again. The operators'
 * page `docs/operators/log_messages.md` is made from this table.
 */

/** Levels of severity, lowest first. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** One row of the table. */
export interface LogMessage {
  readonly code: number;
  readonly level: LogLevel;
  readonly text: string;
  /** What each field says. */
  readonly fields: Readonly<Record<string, string>>;
}

export const LogMessages = {
  started: {
    code: 1001,
    level: "info",
    text: "Started.",
    fields: {
      dataCentre: "Data centre of this VM.",
      firstStart: "Whether the whole system starts for the first time.",
      seeds: "Addresses of the VMs through which the others are found.",
    },
  },
  stopping: {
    code: 1002,
    level: "info",
    text: "Stopping.",
    fields: { signal: "Signal that asked for it." },
  },
  drained: {
    code: 1003,
    level: "info",
    text: "Callers are drained.",
    fields: { running: "Requests that were still running and are cut." },
  },
  stopped: { code: 1004, level: "info", text: "Stopped.", fields: {} },
  settingsReread: {
    code: 1101,
    level: "info",
    text: "The settings were read anew.",
    fields: { seeds: "Addresses of the VMs through which the others are found." },
  },
  settingsRefused: {
    code: 1102,
    level: "error",
    text: "The settings are refused; those in force stay.",
    fields: { error: "What is wrong, with the place in the file." },
  },
  settingsUnreadable: {
    code: 1103,
    level: "warn",
    text: "The settings file cannot be looked at.",
    fields: { error: "Error of the file system." },
  },
  errorCaught: {
    code: 1901,
    level: "error",
    text: "An unexpected error was caught.",
    fields: { error: "The error and where it was thrown." },
  },
  versionTaken: {
    code: 2001,
    level: "info",
    text: "Declarations are in force.",
    fields: {
      version: "Version of the declarations.",
      from: "Where they came from: `store`, or `peer` for another VM.",
    },
  },
  versionRefused: {
    code: 2002,
    level: "error",
    text: "Declarations are refused; those in force stay.",
    fields: { revision: "Revision of the store.", error: "What is wrong with them." },
  },
  storeSilent: {
    code: 2101,
    level: "warn",
    text: "The store gives no answer.",
    fields: {
      failure: "How the call failed.",
      asOf: "Latest revision that this VM has read.",
    },
  },
  storeAnswers: {
    code: 2102,
    level: "info",
    text: "The store answers again.",
    fields: { silentMilliseconds: "Time without an answer to any VM." },
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
    text: "A report of another VM cannot be read.",
    fields: { peer: "VM that sent or relayed it.", error: "What is wrong with it." },
  },
  targetChanged: {
    code: 4001,
    level: "debug",
    text: "A target has changed.",
    fields: {
      target: "The target.",
      state: "`ready`, `draining` or `gone`.",
      revision: "Revision of the store.",
      from: "`store`, or `peer` for another VM.",
    },
  },
  entryUnusable: {
    code: 4002,
    level: "warn",
    text: "An entry names no target.",
    fields: { target: "Identifier of the entry.", error: "What is wrong with it." },
  },
  targetDoubted: {
    code: 4101,
    level: "info",
    text: "A target is doubted.",
    fields: {
      target: "The target.",
      sicknessBefore: "Believed probability of a bad spell before.",
      sickness: "Believed probability of a bad spell now.",
      cause: "Outcome of a call of this VM, or `told` by other VMs.",
    },
  },
  targetTrusted: {
    code: 4102,
    level: "info",
    text: "A target is trusted again.",
    fields: {
      target: "The target.",
      sicknessBefore: "Believed probability of a bad spell before.",
      sickness: "Believed probability of a bad spell now.",
      cause: "Outcome of a call of this VM, or `told` by other VMs.",
    },
  },
  targetUnreachable: {
    code: 4201,
    level: "info",
    text: "A target cannot be reached.",
    fields: {
      target: "The target.",
      timeoutMilliseconds: "Time after which a connection was given up.",
    },
  },
  targetReached: {
    code: 4202,
    level: "info",
    text: "A target is reached again.",
    fields: { target: "The target.", tests: "Bare connections that were tried." },
  },
  requestEnded: {
    code: 5001,
    level: "info",
    text: "A request has ended.",
    fields: {
      request: "Identifier that the caller sent.",
      outcome: "`answered`, or why the proxy ended it itself.",
      status: "Status of the answer; 0 without one.",
      steps: "Every decision on the way with its inputs, as a JSON text.",
    },
  },
  storiesLeftOut: {
    code: 5002,
    level: "info",
    text: "Stories of requests were left out.",
    fields: { count: "Requests that ended without a line, to bound the volume." },
  },
  requestBroken: {
    code: 5901,
    level: "error",
    text: "A request failed unexpectedly.",
    fields: { error: "The error and where it was thrown." },
  },
} as const satisfies Record<string, LogMessage>;

/** Decisions that stand in the steps of a request's story, with their inputs. */
export const StorySteps = {
  accepted: {
    route: "Route of the request.",
    service: "Service that was drawn by the route's weights.",
    workspace: "Workspace of the caller's key.",
    version: "Version of the declarations in force.",
    left: "Milliseconds until the final answer: the caller's deadline or the route's time-out.",
    confirmedAge: "Milliseconds since any VM had an answer of the store.",
  },
  unknown: {
    finding: "What was not found in the declarations in force.",
    version: "Version of these; absent when there are none yet.",
    confirmedAge: "As above; beyond 3,000 the answer is 503, since others may know more.",
  },
  over_rate: {
    workspace: "Workspace of the caller's key.",
    rate: "Its declared rate, requests a second.",
    burst: "Its declared burst.",
    level: "Tokens of the shared bucket, as far as this VM knows.",
    share: "Tokens that this VM may still take when the bucket is low.",
    vms: "VMs that are known to share the bucket.",
  },
  waits: { ahead: "Requests of equal or higher rank that wait for the same service." },
  placed: {
    target: "The target.",
    load: "Requests of all VMs there, as far as known.",
    slots: "Requests that the target works on at once.",
    sickness: "Believed probability of a bad spell.",
    evidenceAge: "Milliseconds since the call began that last showed how the target is, on any VM.",
    lookAfter: "Whether it was chosen to learn how the target is.",
  },
  answered: { target: "The target.", status: "Status of its answer." },
  not_run: { target: "The target.", reason: "How it is known that the request did not run." },
  failed: { target: "The target.", reason: "Why there is no whole answer." },
  retried: { retryLevel: "Share of the service's retries that was left." },
  held_at_start: {
    informed: "Whether declarations had come when the VM, which had just started, went on with it.",
  },
  no_retry_left: { retryLevel: "Share of the service's retries that was left." },
} as const;
