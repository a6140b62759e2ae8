/**
 * Explains where a VM would send a given request now, and why, without sending it.
 *
 * The decisions are those of real requests, with the same random draws in the same order. They are
 * made by calls without side effects or, for a workspace's rate and the retry budget, on a copy of
 * the state. The quarantine is looked up for a request without a body.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as neverthrow from "neverthrow";
import * as admission from "./admission.ts";
import * as bodies from "./body.ts";
import type * as budgets from "./budgets.ts";
import type * as headers from "./headers.ts";
import * as hedgedCalls from "./hedged_call.ts";
import * as passingOn from "./passing_on.ts";
import type * as refusals from "./refusals.ts";
import type * as contexts from "./request_context.ts";
import * as evidence from "./request_evidence.ts";
import * as log from "./request_log.ts";
import * as placers from "./request_placer.ts";
import * as limits from "./stop_limit.ts";
import type * as trackers from "./target_tracker.ts";
import type * as types from "./types.ts";
import * as unplaced from "./unplaced_refusal.ts";

/** Most candidates, and most excluded targets, that are listed; the others are only counted. */
const MAX_LISTED = 50;

const NO_TARGETS: ReadonlySet<model.TargetId> = new Set();
const NO_BUFFERING: passingOn.AnswerBuffering = {
  recordLength: () => undefined,
  mayBuffer: () => false,
};

const NO_BODY = new bodies.RequestBody([], undefined);

/** The request to explain. */
export interface PlacementQuery {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  /** Workspace for which it runs; takes precedence over a key. */
  readonly workspace: string | undefined;
  /** Key that its caller sends. */
  readonly key: string | undefined;
  /** Time that its caller waits, in milliseconds; undefined if it states none. */
  readonly deadlineMilliseconds: number | undefined;
}

/** Values of an explanation that are drawn at random for each request. */
export type DrawnValue =
  /** The service, among those of the route. */
  | "service"
  /** Whether to probe, and the target that is probed. */
  | "probe"
  /** The candidates whose costs are considered. */
  | "sample"
  /** The noise that is added to each of these costs. */
  | "noise"
  /** The VM to which the request is passed on. */
  | "vm"
  /** The spread of Retry-After. */
  | "retryAfterSeconds";

/** What would become of the request. */
export type ExplainedOutcome =
  | { readonly kind: "placed"; readonly target: model.TargetId; readonly isProbe: boolean }
  | {
    readonly kind: "waits";
    /** Queued requests that are placed before it. */
    readonly ahead: number;
    /** Undefined while no request has been placed from the queue. */
    readonly estimatedMilliseconds: number | undefined;
    readonly atMostMilliseconds: number;
    /** What it gets if no target has room by then. */
    readonly otherwise: refusals.Refusal;
  }
  | ({ readonly kind: "refused" } & refusals.Refusal)
  | { readonly kind: "passed_on"; readonly vm: model.VmId };

/** A candidate with its cost. */
export interface ListedCandidate {
  readonly target: model.TargetId;
  readonly isChosen: boolean;
  readonly costMilliseconds: number;
  readonly terms: placement.CostTerms;
  readonly hasRoom: boolean;
  /** Noise drawn for its cost; undefined if it has no room or is not in the sample. */
  readonly noiseMilliseconds: number | undefined;
  readonly load: number;
  readonly slots: number;
  readonly failureProbability: number;
  /** Undefined without any outcome, as are the next two. */
  readonly lastOutcomeAgeMilliseconds: number | undefined;
  readonly evidenceAgeMilliseconds: number | undefined;
}

/** When a second attempt would follow, or why none would. */
export type ExplainedHedge =
  | { readonly kind: "none"; readonly reason: "not_idempotent" | "off" }
  | {
    readonly kind: "withheld";
    readonly reason: placement.HedgeObstacle;
    readonly afterMilliseconds: number;
  }
  | {
    readonly kind: "sent";
    readonly afterMilliseconds: number;
    readonly target: model.TargetId;
  };

/** The workspace of a request and what its rate allows. */
export interface ExplainedWorkspace {
  readonly id: model.WorkspaceId;
  /** Undefined without a limit, as are the next two. */
  readonly ratePerSecond: number | undefined;
  readonly burst: number | undefined;
  readonly rate: budgets.RatePreview | undefined;
}

/** Where a request would be sent, and why, in the order of the decisions. */
export interface PlacementExplanation {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
  readonly isStopping: boolean;
  readonly inputs: {
    readonly version: declarations.DeclarationsVersion;
    /** Position as of which the list of targets is complete, or of its latest change. */
    readonly position: declarations.StorePosition | undefined;
    /** Time since the latest response of the store to any VM; undefined if there was none. */
    readonly storeConfirmedAgeMilliseconds: number | undefined;
    readonly loadReportAges: trackers.LoadReportAges;
  };
  readonly route: {
    readonly id: model.RouteId;
    readonly isIdempotent: boolean;
    readonly objectiveMilliseconds: number;
    readonly timeoutMilliseconds: number | undefined;
    readonly attempts: number;
    readonly priority: number;
    readonly destinations: readonly declarations.Destination[];
  };
  readonly workspace: ExplainedWorkspace | undefined;
  readonly priority: number;
  /** Undefined if the request is refused before a service is drawn. */
  readonly service: model.ServiceId | undefined;
  readonly outcome: ExplainedOutcome;
  /** Those of least cost first; the one that would be chosen is always listed. */
  readonly candidates: readonly ListedCandidate[];
  readonly candidateCount: number;
  readonly excluded: readonly trackers.TargetExclusion[];
  readonly excludedCount: number;
  /** Undefined unless the request would be placed. */
  readonly hedge: ExplainedHedge | undefined;
  /** Which of the values above were drawn at random. */
  readonly drawn: readonly DrawnValue[];
}

/** What the explanations of one VM are made from. */
export interface ExplainerOptions {
  readonly identity: Pick<mesh.MemberIdentity, "vm" | "dataCentre">;
  readonly context: contexts.RequestContext;
  readonly directory: Pick<declarations.TargetDirectory, "mark">;
}

/** The decisions after the admission. */
type Decisions = Pick<PlacementExplanation, "outcome" | "drawn"> & {
  readonly choice?: placement.ExplainedChoice | undefined;
  readonly hedge?: ExplainedHedge | undefined;
};

/** Explains where requests would be sent. */
export class PlacementExplainer {
  readonly #options: ExplainerOptions;

  constructor(options: ExplainerOptions) {
    this.#options = options;
  }

  /** Explains a request, or returns why there is no explanation. */
  explain(query: PlacementQuery): neverthrow.Result<PlacementExplanation, model.Diagnostic> {
    const { context } = this.#options;
    const view = context.store.current;
    if (view === undefined || !context.startGate.isOpen) {
      return createError(model.ExplanationDiagnostics.vmStarting, []);
    }
    const head = createHead(query, view, context.profile);
    if (head.isErr()) {
      return neverthrow.err(head.error);
    }
    const trace = new log.RequestTrace("");
    const declared = admission.findDeclared(context, head.value, trace);
    if ("status" in declared) {
      return neverthrow.err(createRefusalError(query, declared));
    }
    return neverthrow.ok(this.#explainDeclared(head.value, declared, trace));
  }

  #explainDeclared(
    head: headers.RequestHead,
    declared: admission.DeclaredRequest,
    trace: log.RequestTrace,
  ): PlacementExplanation {
    const { context } = this.#options;
    const { route, workspace } = declared;
    const stopping = admission.findStopRefusal(context, head, trace, declared);
    if (stopping !== undefined) {
      return {
        ...this.#describe(declared, undefined),
        priority: workspace?.priority ?? route.priority,
        service: undefined,
        ...createRefused(stopping),
        ...NOTHING_LISTED,
      };
    }
    const rate = workspace === undefined ? undefined : context.budgets.previewRate(
      workspace,
      route.priority,
      admission.getTimeLeft(head, route, context.profile),
    );
    const described = this.#describe(declared, rate);
    if (rate?.isAdmitted === false) {
      return {
        ...described,
        priority: workspace?.priority ?? route.priority,
        service: undefined,
        outcome: { kind: "refused", ...admission.createOverRate(rate.retryAfterSeconds ?? 0) },
        ...NOTHING_LISTED,
        drawn: ["retryAfterSeconds"],
      };
    }
    const accepted = admission.createAccepted(context, head, trace, declared);
    const { priority, service, homes } = accepted;
    const { outcome, drawn, choice, hedge } = this.#decide(head, accepted, trace);
    const excluded = context.tracker.listExclusions(service, NO_TARGETS, homes);
    const listed = listCandidates(choice?.candidates ?? [], outcome);
    return {
      ...described,
      priority,
      service,
      outcome,
      candidates: listed,
      candidateCount: choice?.candidates.length ?? 0,
      excluded: excluded.slice(0, MAX_LISTED),
      excludedCount: excluded.length,
      hedge,
      drawn: [...(route.destinations.length > 1 ? ["service" as const] : []), ...drawn],
    };
  }

  #describe(
    { view, route, workspace }: admission.DeclaredRequest,
    rate: budgets.RatePreview | undefined,
  ) {
    const { context, directory, identity } = this.#options;
    const { asOf, latest } = directory.mark;
    const now = kernel.getMonotonicMilliseconds();
    return {
      vm: identity.vm,
      dataCentre: identity.dataCentre,
      isStopping: context.stop.isStopping,
      inputs: {
        version: view.declarations.version,
        position: asOf ?? latest,
        storeConfirmedAgeMilliseconds: getFinite(now - context.getConfirmedAt()),
        loadReportAges: context.tracker.getLoadReportAges(),
      },
      route: {
        id: route.id,
        isIdempotent: route.isIdempotent,
        objectiveMilliseconds: route.objectiveMilliseconds,
        timeoutMilliseconds: route.timeoutMilliseconds,
        attempts: route.attempts,
        priority: route.priority,
        destinations: route.destinations,
      },
      workspace: workspace === undefined ? undefined : {
        id: workspace.id,
        ratePerSecond: workspace.ratePerSecond,
        burst: workspace.ratePerSecond === undefined ? undefined : workspace.burst,
        rate,
      },
    };
  }

  /** Decides about a request in the order of `RequestHandler`. */
  #decide(
    head: headers.RequestHead,
    accepted: types.AcceptedRequest,
    trace: log.RequestTrace,
  ): Decisions {
    const { context } = this.#options;
    if (accepted.endsAt <= kernel.getMonotonicMilliseconds()) {
      return createRefused(unplaced.createExpiredRefusal());
    }
    const requestEvidence = new evidence.RequestEvidence(context, trace, head);
    const quarantine = requestEvidence.findRefusal(accepted, NO_BODY);
    if (quarantine !== undefined) {
      return createRefused(quarantine);
    }
    const isPassedOn = passingOn.mayPassOn({
      isIsolated: context.path.isIsolated,
      isForwarded: false,
      attemptsLeft: accepted.route.attempts,
      canBeSent: true,
      mayBegin: limits.mayBegin(context, accepted),
    });
    // The request is not sent, so no response is buffered.
    const peers = new passingOn.PeerCalls(context, trace, NO_BUFFERING);
    const peer = isPassedOn ? peers.choose(accepted) : undefined;
    return peer === undefined
      ? this.#place(accepted, requestEvidence, trace)
      : { outcome: { kind: "passed_on", vm: peer.vm }, drawn: ["vm"] };
  }

  #place(
    accepted: types.AcceptedRequest,
    requestEvidence: evidence.RequestEvidence,
    trace: log.RequestTrace,
  ): Decisions {
    const { context } = this.#options;
    let choice: placement.ExplainedChoice = { choice: { kind: "none" }, candidates: [] };
    const placer = new placers.RequestPlacer(
      {
        ...context,
        // A real request is counted before it is placed, which adds to the budget.
        budgets: {
          getRetryLevel: (service) => context.budgets.previewRetryLevel(service),
        },
      },
      trace,
      NO_TARGETS,
      new AbortController().signal,
      (candidates, request) => {
        choice = placement.explainChoice(candidates, request);
        return choice.choice;
      },
    );
    const plan = placer.plan(accepted);
    const drawn = listDrawn(choice);
    const { decided } = plan;
    if (decided === undefined) {
      const otherwise = unplaced.createUnplacedRefusal(context, accepted, "no_room");
      const outcome = {
        kind: "waits" as const,
        ahead: plan.ahead,
        estimatedMilliseconds: context.queues.get(accepted.service)
          .estimateWait(accepted.priority, accepted.workspace),
        atMostMilliseconds: plan.waitUntil - kernel.getMonotonicMilliseconds(),
        otherwise,
      };
      return { outcome, drawn: [...drawn, "retryAfterSeconds"], choice };
    }
    if (decided.kind === "refused") {
      const refusal = unplaced.createUnplacedRefusal(context, accepted, decided.reason);
      return { ...createRefused(refusal, ["retryAfterSeconds"]), choice };
    }
    const { candidate, isProbe } = decided;
    return {
      outcome: { kind: "placed", target: candidate.id, isProbe },
      drawn,
      choice,
      hedge: this.#explainHedge(accepted, requestEvidence, candidate, choice),
    };
  }

  #explainHedge(
    accepted: types.AcceptedRequest,
    requestEvidence: evidence.RequestEvidence,
    first: placement.Candidate,
    { candidates }: placement.ExplainedChoice,
  ): ExplainedHedge {
    const { context } = this.#options;
    const { hedges, queues, stop, budgets: vmBudgets } = context;
    if (!hedgedCalls.mayBeHedged(hedges, accepted)) {
      return { kind: "none", reason: accepted.route.isIdempotent ? "off" : "not_idempotent" };
    }
    const timing = hedgedCalls.getHedgeTiming(
      context,
      accepted,
      kernel.getMonotonicMilliseconds(),
    );
    const { failureProbability } = first;
    const afterMilliseconds = placement.getHedgeDelay({ ...timing, failureProbability });
    const { candidate, obstacle } = hedgedCalls.planSecondAttempt(
      {
        budgets: { getRetryLevel: (service) => vmBudgets.previewRetryLevel(service) },
        hedges: { isWithinShare: (service) => hedges.isWithinShareAfterRequest(service) },
        queues,
        stop,
      },
      accepted,
      candidates.map((one) => one.candidate).filter(({ id }) => id !== first.id),
      {
        isPassedOn: false,
        isBuffered: true,
        attemptsLeft: accepted.route.attempts - 1,
        isQuarantined: false,
        haveTargetsEnded: requestEvidence.haveTargetsEnded(accepted, NO_BODY),
      },
      timing.meanProcessingMilliseconds,
      timing.availableMilliseconds - afterMilliseconds,
    );
    return obstacle !== undefined || candidate === undefined
      ? { kind: "withheld", reason: obstacle ?? "no_free_slot", afterMilliseconds }
      : { kind: "sent", afterMilliseconds, target: candidate.id };
  }
}

const NOTHING_LISTED = {
  candidates: [],
  candidateCount: 0,
  excluded: [],
  excludedCount: 0,
  hedge: undefined,
};

function createRefused(refusal: refusals.Refusal, drawn: readonly DrawnValue[] = []): Decisions {
  const isDrawn = refusal.retryAfterSeconds !== undefined;
  return { outcome: { kind: "refused", ...refusal }, drawn: isDrawn ? drawn : [] };
}

/** What was drawn for a choice. */
function listDrawn({ choice, candidates }: placement.ExplainedChoice): DrawnValue[] {
  const inSample = candidates.filter(({ noiseMilliseconds }) => noiseMilliseconds !== undefined);
  const isSampled = inSample.length > 0 &&
    inSample.length < candidates.filter(({ hasRoom }) => hasRoom).length;
  return [
    ...(choice.kind === "chosen" && choice.isProbe ? ["probe" as const] : []),
    ...(isSampled ? ["sample" as const] : []),
    ...(inSample.length > 0 ? ["noise" as const] : []),
  ];
}

function listCandidates(
  explained: readonly placement.ExplainedCandidate[],
  outcome: ExplainedOutcome,
): ListedCandidate[] {
  const chosen = outcome.kind === "placed" ? outcome.target : undefined;
  const first = explained.slice(0, MAX_LISTED);
  const missing = explained.slice(MAX_LISTED).find(({ candidate }) => candidate.id === chosen);
  const listed = missing === undefined ? first : [...first.slice(0, -1), missing];
  return listed.map(({ candidate, costMilliseconds, terms, hasRoom, noiseMilliseconds }) => ({
    target: candidate.id,
    isChosen: candidate.id === chosen,
    costMilliseconds,
    terms,
    hasRoom,
    noiseMilliseconds,
    load: candidate.load,
    slots: candidate.slots,
    failureProbability: candidate.failureProbability,
    lastOutcomeAgeMilliseconds: getFinite(candidate.sinceLastOutcomeMilliseconds),
    evidenceAgeMilliseconds: getFinite(candidate.evidenceAgeMilliseconds),
  }));
}

/** Creates the head that a caller would send. With a workspace, it carries one of its keys. */
function createHead(
  query: PlacementQuery,
  view: declarations.DeclarationView,
  profile: types.HeaderProfile,
): neverthrow.Result<headers.RequestHead, model.Diagnostic> {
  let { key } = query;
  if (query.workspace !== undefined) {
    const workspace = view.getWorkspaceById(model.createWorkspaceId(query.workspace));
    [key] = workspace?.keys ?? [];
    if (key === undefined) {
      return createError(model.ExplanationDiagnostics.workspaceUnknown, [query.workspace]);
    }
  }
  const fields: Record<string, string> = {
    host: query.host,
    ...(key === undefined ? {} : { authorization: `${profile.keyScheme} ${key}` }),
    ...(query.deadlineMilliseconds === undefined
      ? {}
      : { [profile.deadline]: String(query.deadlineMilliseconds) }),
  };
  return neverthrow.ok({
    headers: fields,
    rawHeaders: Object.entries(fields).flat(),
    method: query.method,
    url: query.path,
    httpVersion: "1.1",
  });
}

/** The error for a request that is refused before its route and workspace are known. */
function createRefusalError(
  { host, path }: PlacementQuery,
  { status, reason }: refusals.Refusal,
): model.Diagnostic {
  const { ExplanationDiagnostics: rows } = model;
  switch (reason) {
    case "unknown_route":
      return model.createDiagnostic(rows.routeUnknown, [host, path]);
    case "unknown_key":
      return model.createDiagnostic(rows.keyUnknown, []);
    default:
      return model.createDiagnostic(rows.requestRefused, [status, reason]);
  }
}

function createError(
  row: model.DiagnosticMessage,
  values: readonly (string | number)[],
): neverthrow.Result<never, model.Diagnostic> {
  return neverthrow.err(model.createDiagnostic(row, values));
}

function getFinite(value: number): number | undefined {
  return Number.isFinite(value) ? value : undefined;
}
