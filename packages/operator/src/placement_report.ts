/**
 * Formats the explanation of a placement for operators.
 *
 * The fields of the answer are described in `packages/proxy/src/placement_explanation.ts`.
 */

/** Terms of a candidate's cost in milliseconds, by name. */
type Terms = Readonly<Record<string, number>>;

/** The fields of a VM's answer that are printed. */
export interface PlacementAnswer {
  readonly vm: string;
  readonly dataCentre: string;
  readonly isStopping: boolean;
  readonly inputs: {
    readonly version: number;
    readonly position?: { readonly era: number; readonly revision: number };
    readonly storeConfirmedAgeMilliseconds?: number;
    readonly loadReportAges: {
      readonly vms: number;
      readonly newest?: number;
      readonly oldest?: number;
    };
  };
  readonly route: {
    readonly id: string;
    readonly isIdempotent: boolean;
    readonly objectiveMilliseconds: number;
    readonly timeoutMilliseconds?: number;
    readonly attempts: number;
    readonly destinations: readonly { readonly service: string; readonly weight: number }[];
  };
  readonly workspace?: {
    readonly id: string;
    readonly ratePerSecond?: number;
    readonly burst?: number;
    readonly rate?: {
      readonly isAdmitted: boolean;
      readonly waitsForReports: boolean;
      readonly waitsForConfirmation: boolean;
      readonly level: number;
      readonly bound?: string;
    };
  };
  readonly priority: number;
  readonly service?: string;
  readonly outcome: Outcome;
  readonly candidates: readonly {
    readonly target: string;
    readonly isChosen: boolean;
    readonly costMilliseconds: number;
    readonly terms: Terms;
    readonly hasRoom: boolean;
    readonly noiseMilliseconds?: number;
    readonly load: number;
    readonly slots: number;
    readonly failureProbability: number;
    readonly lastOutcomeAgeMilliseconds?: number;
  }[];
  readonly candidateCount: number;
  readonly excluded: readonly {
    readonly id: string;
    readonly reason: string;
    readonly milliseconds?: number;
  }[];
  readonly excludedCount: number;
  readonly hedge?: {
    readonly kind: string;
    readonly reason?: string;
    readonly afterMilliseconds?: number;
    readonly target?: string;
  };
  readonly drawn: readonly string[];
}

interface Refusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterSeconds?: number;
}

type Outcome =
  | { readonly kind: "placed"; readonly target: string; readonly isProbe: boolean }
  | {
    readonly kind: "waits";
    readonly ahead: number;
    readonly estimatedMilliseconds?: number;
    readonly atMostMilliseconds: number;
    readonly otherwise: Refusal;
  }
  | (Refusal & { readonly kind: "refused" })
  | { readonly kind: "passed_on"; readonly vm: string };

/** Formats an answer as lines, in the order in which the VM decides. */
export function formatAnswer(answer: PlacementAnswer): string[] {
  return [
    ...formatInputs(answer),
    ...formatAdmission(answer),
    `outcome: ${formatOutcome(answer)}`,
    ...formatCandidates(answer),
    ...formatExcluded(answer),
    ...(answer.hedge === undefined ? [] : [`hedge: ${formatHedge(answer.hedge)}`]),
    ...(answer.drawn.length === 0 ? [] : [`drawn at random: ${answer.drawn.join(", ")}`]),
  ];
}

function formatInputs({ vm, dataCentre, isStopping, inputs, route }: PlacementAnswer): string[] {
  const { version, position, storeConfirmedAgeMilliseconds: age, loadReportAges } = inputs;
  const place = position === undefined ? "unknown" : `${position.era}/${position.revision}`;
  const confirmed = age === undefined ? "never confirmed" : `confirmed ${formatTime(age)} ago`;
  const { vms, newest, oldest } = loadReportAges;
  const reports = newest === undefined || oldest === undefined
    ? "no loads of other VMs"
    : `loads of ${vms} VMs from ${formatTime(newest)} to ${formatTime(oldest)} ago`;
  const limit = route.timeoutMilliseconds === undefined
    ? "no time limit"
    : `time limit ${formatTime(route.timeoutMilliseconds)}`;
  return [
    `VM ${vm} in ${dataCentre}${isStopping ? ", which is stopping" : ""}`,
    `inputs: declarations version ${version}, store position ${place} ${confirmed}, ${reports}`,
    `route ${route.id}: ${route.isIdempotent ? "idempotent" : "at most once"}, objective ${
      formatTime(route.objectiveMilliseconds)
    }, ${limit}, attempts ${route.attempts}`,
  ];
}

function formatAdmission(answer: PlacementAnswer): string[] {
  const { workspace, service, route, priority } = answer;
  const lines = [
    workspace === undefined
      ? `workspace: none, priority ${priority}`
      : `workspace ${workspace.id}: ${formatRate(workspace)}, priority ${priority}`,
  ];
  if (service !== undefined) {
    const { destinations } = route;
    const weights = destinations.map((one) => `${one.service} ${one.weight}`).join(", ");
    lines.push(`service ${service}${destinations.length > 1 ? `, drawn from ${weights}` : ""}`);
  }
  return lines;
}

function formatRate(workspace: NonNullable<PlacementAnswer["workspace"]>): string {
  const { ratePerSecond, burst, rate } = workspace;
  if (ratePerSecond === undefined || rate === undefined) {
    return "no rate";
  }
  const waits = [
    ...(rate.waitsForReports ? ["waits for reports of other VMs"] : []),
    ...(rate.waitsForConfirmation ? ["waits for the confirmation of earlier tokens"] : []),
  ];
  const decision = rate.isAdmitted ? "admitted" : `refused, bound by ${rate.bound ?? "demand"}`;
  return [
    `rate ${ratePerSecond} per s, burst ${burst ?? 0}, level ${formatNumber(rate.level)}`,
    ...waits,
    decision,
  ].join(", ");
}

function formatOutcome({ outcome }: PlacementAnswer): string {
  switch (outcome.kind) {
    case "placed":
      return `sent to ${outcome.target}${outcome.isProbe ? " as a probe" : ""}`;
    case "waits": {
      const { ahead, estimatedMilliseconds, atMostMilliseconds, otherwise } = outcome;
      const estimate = estimatedMilliseconds === undefined
        ? ""
        : ` an estimated ${formatTime(estimatedMilliseconds)},`;
      return `waits for a slot behind ${ahead} requests,${estimate} at most ${
        formatTime(atMostMilliseconds)
      }; otherwise ${formatRefusal(otherwise)}`;
    }
    case "refused":
      return formatRefusal(outcome);
    case "passed_on":
      return `passed on to the VM ${outcome.vm}, since this one reaches no target`;
  }
}

function formatRefusal({ status, reason, retryAfterSeconds }: Refusal): string {
  const retry = retryAfterSeconds === undefined
    ? "no Retry-After"
    : `Retry-After ${formatNumber(retryAfterSeconds)} s`;
  return `refused with ${status} ${reason}, ${retry}`;
}

function formatCandidates({ candidates, candidateCount }: PlacementAnswer): string[] {
  const lines = candidates.map((candidate) => {
    const terms = Object.entries(candidate.terms)
      .filter(([, value]) => value !== 0)
      .map(([name, value]) => `${name} ${formatNumber(value)}`);
    const age = candidate.lastOutcomeAgeMilliseconds;
    const parts = [
      `cost ${formatNumber(candidate.costMilliseconds)} ms${
        terms.length === 0 ? "" : ` (${terms.join(", ")})`
      }`,
      !candidate.hasRoom
        ? "no room"
        : candidate.noiseMilliseconds === undefined
        ? "not compared"
        : `noise ${formatNumber(candidate.noiseMilliseconds)}`,
      `load ${candidate.load} of ${candidate.slots}`,
      `failing ${candidate.failureProbability.toFixed(3)}`,
      age === undefined ? "no outcome" : `outcome ${formatTime(age)} ago`,
    ];
    return `  ${candidate.isChosen ? "*" : " "} ${candidate.target}: ${parts.join(", ")}`;
  });
  const omitted = candidateCount - candidates.length;
  return [
    `candidates: ${candidateCount}`,
    ...lines,
    ...(omitted > 0 ? [`    and ${omitted} more`] : []),
  ];
}

function formatExcluded({ excluded, excludedCount }: PlacementAnswer): string[] {
  if (excludedCount === 0) {
    return [];
  }
  const lines = excluded.map(({ id, reason, milliseconds }) =>
    `    ${id}: ${reason}${milliseconds === undefined ? "" : ` for ${formatTime(milliseconds)}`}`
  );
  const omitted = excludedCount - excluded.length;
  return [
    `excluded: ${excludedCount}`,
    ...lines,
    ...(omitted > 0 ? [`    and ${omitted} more`] : []),
  ];
}

function formatHedge(hedge: NonNullable<PlacementAnswer["hedge"]>): string {
  const { kind, reason, afterMilliseconds, target } = hedge;
  const after = `after ${formatTime(afterMilliseconds ?? 0)} without a response`;
  switch (kind) {
    case "sent":
      return `to ${target ?? ""} ${after}, as things are now`;
    case "withheld":
      return `due ${after}, withheld as things are now: ${reason ?? ""}`;
    default:
      return `none: ${reason ?? ""}`;
  }
}

function formatTime(milliseconds: number): string {
  return `${Math.round(milliseconds)} ms`;
}

function formatNumber(value: number): string {
  return String(Math.round(value * 100) / 100);
}
