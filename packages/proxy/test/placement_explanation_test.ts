/**
 * Tests of the explanation of a placement, on VMs without a network. A title names the failure that
 * the test guards against.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as fastCheck from "fast-check";
import * as budgets from "../src/budgets.ts";
import type * as connections from "../src/caller_connection.ts";
import * as hedgedCalls from "../src/hedged_call.ts";
import * as hedges from "../src/hedges.ts";
import type * as paths from "../src/path_monitor.ts";
import * as explanations from "../src/placement_explanation.ts";
import type * as contexts from "../src/request_context.ts";
import * as handlers from "../src/request_handler.ts";
import * as log from "../src/request_log.ts";
import * as requestQueues from "../src/request_queues.ts";
import * as peers from "../src/serving_peers.ts";
import * as trackers from "../src/target_tracker.ts";
import * as harness from "./harness.ts";

/** The runtime refuses to connect to this port, so that an attempt ends at once. */
const UNUSABLE_ADDRESS = "127.0.0.1:99999";

/** A request that waits for a confirmation is decided within this time. */
const MAX_CONFIRMATION_WAIT_MILLISECONDS = 180;

const NORTH = model.createDataCentreId("north");
const REGION_OF: ReadonlyMap<model.DataCentreId, model.RegionId> = new Map([
  [NORTH, model.createRegionId("inland")],
  [model.createDataCentreId("south"), model.createRegionId("coast")],
]);
const DESK = model.createServiceId("desk");
const SPARE = model.createServiceId("spare");
const CITY = model.createWorkspaceId("city");

/** A target of a drawn state. */
interface DrawnTarget {
  readonly service: model.ServiceId;
  readonly dataCentre: model.DataCentreId;
  readonly slots: number;
  readonly ownLoad: number;
  readonly othersLoad: number;
  readonly outcomes: readonly (readonly [placement.Outcome, number])[];
  readonly milliseconds: number | undefined;
  readonly warmUpMilliseconds: number;
  readonly isDraining: boolean;
  readonly pause: string | undefined;
  readonly isMisdirected: boolean;
}

/** A drawn state of a VM, and a request. */
interface DrawnState {
  readonly targets: readonly DrawnTarget[];
  readonly evacuated: readonly string[];
  readonly isIdempotent: boolean;
  readonly attempts: number;
  readonly isSplit: boolean;
  readonly routeHomes: readonly string[] | undefined;
  readonly workspaceHomes: readonly string[] | undefined;
  readonly priority: number | undefined;
  readonly rate: readonly [ratePerSecond: number, burst: number] | undefined;
  /** Requests of the workspace before, and those of other VMs. */
  readonly tokens: readonly [own: number, others: number];
  readonly isConfirmed: boolean;
  readonly isFirstStart: boolean;
  readonly coldRate: number | undefined;
  readonly retries: number;
  readonly hedgeShare: number;
  readonly hedgeRequests: number;
  readonly waiting: readonly number[];
  readonly isIsolated: boolean;
  readonly otherVms: number;
  readonly elapsedMilliseconds: number;
  readonly deadlineMilliseconds: number | undefined;
  readonly path: string;
  readonly key: string | undefined;
  readonly seed: number;
  /** The stop of the VM, if it stops. */
  readonly stop?: DrawnStop;
}

interface DrawnStop {
  /** Time until the cut-off. */
  readonly leftMilliseconds: number;
  readonly isClosing: boolean;
}

/** What a request got, and the decisions on the way. */
interface Handled {
  readonly status: number;
  readonly outcome: string;
  readonly retryAfter: string | undefined;
  readonly steps: readonly log.Step[];
}

/** State of `drawSeeded`. */
let drawState = 0;

/**
 * Draws numbers from 0 to 1 (mulberry32). Stands in for `Math.random`, also in objects that keep the
 * function, so that a new seed applies to them too.
 */
function drawSeeded(): number {
  drawState = (drawState + 0x6d2b79f5) | 0;
  let mixed = Math.imul(drawState ^ (drawState >>> 15), 1 | drawState);
  mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
  return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
}

/** Runs something with the numbers that follow from a seed. */
function withSeed<Result>(seed: number, run: () => Result): Result {
  drawState = seed;
  return run();
}

/** The other VMs, which the test plays. */
class SimulatedMesh {
  readonly self = {
    vm: model.createVmId("vm"),
    dataCentre: NORTH,
    address: "127.0.0.1:1",
    incarnation: "1",
  };
  readonly propagationMilliseconds = 300;
  readonly sections = new Map<string, mesh.ReportSection>();
  readonly #others: readonly Partial<mesh.MemberIdentity>[];
  confirmedSequence = Number.POSITIVE_INFINITY;
  urgentReports = 0;

  constructor(otherVms: number) {
    this.#others = Array.from({ length: otherVms }, (_, index) => ({
      vm: model.createVmId(`other-${index}`),
      dataCentre: model.createDataCentreId(index % 2 === 0 ? "north" : "south"),
      address: UNUSABLE_ADDRESS,
      incarnation: "1" as mesh.MemberIdentity["incarnation"],
    }));
  }

  get size(): number {
    return this.#others.length + 1;
  }

  addSection(name: string, section: mesh.ReportSection): void {
    this.sections.set(name, section);
  }

  addReplicatedState(): void {}

  addRelayExchange(): void {}

  countInContact(): number {
    return this.size;
  }

  listOthers() {
    return this.#others;
  }

  listInContact() {
    return this.#others;
  }

  hasLeft(): boolean {
    return false;
  }

  reportSoon(): void {
    this.urgentReports++;
  }
}

/** A VM in a drawn state. */
class TestWorld {
  readonly mesh: SimulatedMesh;
  readonly metrics = new kernel.Metrics();
  readonly directory = new declarations.TargetDirectory();
  readonly tracker: trackers.TargetTracker;
  readonly budgets: budgets.Budgets;
  readonly hedges: hedges.Hedges;
  readonly context: contexts.RequestContext;
  readonly explainer: explanations.PlacementExplainer;
  readonly #state: DrawnState;
  readonly #handled: Handled[] = [];

  constructor(state: DrawnState) {
    this.#state = state;
    this.mesh = new SimulatedMesh(state.otherVms);
    const vmMesh = this.mesh as unknown as mesh.Mesh;
    const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
    const store = new declarations.DeclarationStore();
    const evacuations = new declarations.Evacuations();
    const homePolicy = new placement.HomePolicy({
      byDataCentre: REGION_OF,
      own: REGION_OF.get(NORTH),
    });
    this.tracker = new trackers.TargetTracker(
      this.directory,
      evacuations,
      homePolicy,
      vmMesh,
      logger,
      this.metrics,
      () => 1,
      "127.0.0.1",
      () => state.coldRate,
    );
    this.budgets = new budgets.Budgets(
      vmMesh,
      store,
      harness.BOUNDS,
      state.isFirstStart,
      logger,
      this.metrics,
    );
    this.hedges = new hedges.Hedges(
      () => ({ maxExtraShare: state.hedgeShare, services: new Map() }),
      this.metrics,
    );
    const path = { isIsolated: state.isIsolated, isVmIsolated: () => false };
    this.context = {
      profile: harness.PROFILE,
      store,
      tracker: this.tracker,
      budgets: this.budgets,
      hedges: this.hedges,
      connections: { closeUnusable: () => {} },
      log: {
        write: (trace: log.RequestTrace, outcome: string, status: number) =>
          this.#handled.push({ status, outcome, retryAfter: undefined, steps: trace.steps }),
      },
      crashes: { isIdle: true },
      queues: new requestQueues.RequestQueues(),
      counters: {
        requests: { inc: () => {} },
        served: { inc: () => {} },
        targetRefusals: { inc: () => {} },
        foreignResponses: { inc: () => {} },
        attemptsGivenUp: { inc: () => {} },
      },
      latency: { record: () => {} },
      recordLeaving: () => {},
      recordRate: () => {},
      getConfirmedAt: () => kernel.getMonotonicMilliseconds() - 100,
      stop: {
        isStopping: state.stop !== undefined,
        isClosing: state.stop?.isClosing === true,
        cutOffAt: kernel.getMonotonicMilliseconds() + (state.stop?.leftMilliseconds ?? Infinity),
      },
      path,
      peers: new peers.ServingPeers(vmMesh, path as unknown as paths.PathMonitor, homePolicy),
      forwardedRequests: {},
      startGate: { isOpen: true },
    } as unknown as contexts.RequestContext;
    this.explainer = new explanations.PlacementExplainer({
      identity: this.mesh.self,
      context: this.context,
      directory: this.directory,
    });
    store.apply(createDeclarations(state));
    state.evacuated.forEach((name, index) =>
      evacuations.apply({
        dataCentre: model.createDataCentreId(name),
        position: fixtures.createPosition(index + 1),
        isEvacuated: true,
      })
    );
    state.targets.forEach((target, index) => this.#addTarget(target, index));
  }

  get query(): explanations.PlacementQuery {
    const { path, key, deadlineMilliseconds } = this.#state;
    const host = "desk.example";
    return { method: "POST", host, path, workspace: undefined, key, deadlineMilliseconds };
  }

  /** Starts the timers, and makes the requests that have come before. */
  begin(): void {
    const { tokens: [own, others], rate, retries, hedgeRequests, waiting, isConfirmed } =
      this.#state;
    this.budgets.start();
    this.mesh.confirmedSequence = isConfirmed ? Number.POSITIVE_INFINITY : 0;
    if (rate !== undefined && others > 0) {
      this.#receive("rates", { age: 1, counters: { [CITY]: [others, others] } });
    }
    const workspace = this.context.store.current?.getWorkspaceById(CITY) ?? assert.fail();
    for (let request = 0; request < own; request++) {
      const priority = request % 3;
      if (this.budgets.takeRate(workspace, priority) === false) {
        this.budgets.takeReturnSeconds(workspace, priority, 2_000);
      }
    }
    // As a request does; from then on, this VM's part of the rate of a cold target refills.
    for (const service of [DESK, SPARE]) {
      this.tracker.listCandidates(service, new Set(), undefined);
    }
    for (let retry = 0; retry < retries; retry++) {
      this.budgets.takeRetry(DESK);
    }
    for (let request = 0; request < hedgeRequests; request++) {
      this.hedges.countRequest(DESK);
    }
    for (const priority of waiting) {
      this.context.queues.get(DESK).add({
        priority,
        workspace: CITY,
        acceptsAnyTarget: true,
        waitUntil: Number.POSITIVE_INFINITY,
        tryPlace: () => false,
        onTimeout: () => {},
      });
    }
  }

  stop(): void {
    this.budgets.stop();
    this.tracker.reachability.stop();
    this.context.peers.stop();
  }

  explain(): ReturnType<explanations.PlacementExplainer["explain"]> {
    return withSeed(this.#state.seed, () => this.explainer.explain(this.query));
  }

  /** Sends the request as a caller does; it is handled as far as no time has to pass. */
  async send(clock: kernelTesting.TestClock): Promise<Handled> {
    const { host, path, key, deadlineMilliseconds } = this.query;
    const fields = {
      host,
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      ...(deadlineMilliseconds === undefined
        ? {}
        : { [harness.PROFILE.deadline]: String(deadlineMilliseconds) }),
    };
    const request = {
      headers: fields,
      rawHeaders: Object.entries(fields).flat(),
      method: "POST",
      url: path,
      httpVersion: "1.1",
      resume: () => {},
    } as unknown as http.IncomingMessage;
    let head: readonly string[] = [];
    const response = {
      headersSent: false,
      writeHead: (_status: number, fieldsSent: readonly string[]) => head = fieldsSent,
      end: () => {},
    } as unknown as http.ServerResponse;
    const connection = { decideEnd: () => false } as unknown as connections.CallerConnection;
    const handler = new handlers.RequestHandler(
      this.context,
      request,
      response,
      connection,
      false,
    );
    const running = withSeed(this.#state.seed, () => handler.run(false));
    await clock.flush();
    handler.onCallerClosed();
    await clock.flush();
    if (this.#handled.length === 0) {
      // It waits for the confirmation of earlier tokens.
      await clock.advance(MAX_CONFIRMATION_WAIT_MILLISECONDS);
    }
    await running;
    const index = head.indexOf("Retry-After");
    const retryAfter = index < 0 ? undefined : head[index + 1];
    return { ...this.#handled.at(-1) ?? assert.fail("The request has not ended."), retryAfter };
  }

  /** What others can observe of the VM. Collecting what it reports resets it. */
  async observe(): Promise<unknown> {
    const reports = [...this.mesh.sections].map(([name, section]) => [name, section.collect(1)]);
    const listed = [DESK, SPARE].map((service) =>
      this.tracker.listCandidates(service, new Set(), undefined)
    );
    return {
      reports,
      listed,
      urgent: this.mesh.urgentReports,
      levels: [DESK, SPARE].map((service) => this.budgets.getRetryLevel(service)),
      metrics: await this.metrics.registry.metrics(),
      rate: this.budgets.describeRate(
        this.context.store.current?.getWorkspaceById(CITY) ?? assert.fail(),
      ),
    };
  }

  #addTarget(drawn: DrawnTarget, index: number): void {
    const { service, dataCentre, slots, warmUpMilliseconds, isDraining } = drawn;
    const change = fixtures.createChange(`target-${index}`, index + 1, {
      service,
      dataCentre,
      slots,
      warmUpMilliseconds,
      isDraining,
      address: UNUSABLE_ADDRESS,
    });
    this.directory.apply(change);
    const now = kernel.getMonotonicMilliseconds();
    for (let call = 0; call < drawn.ownLoad; call++) {
      this.tracker.beginCall(change.id);
    }
    if (drawn.othersLoad > 0) {
      this.#receive("loads", [false, { [change.id]: drawn.othersLoad }]);
    }
    for (const [outcome, age] of drawn.outcomes) {
      this.tracker.recordOutcome(change.id, outcome, now - age);
    }
    if (drawn.milliseconds !== undefined) {
      this.tracker.processingTimes.record("bookings", change.id, drawn.milliseconds, 500);
    }
    if (drawn.pause !== undefined) {
      this.tracker.startPause(change.id, drawn.pause);
    }
    if (drawn.isMisdirected) {
      this.tracker.recordNotReached(change.id, false);
    }
  }

  #receive(section: string, payload: unknown): void {
    const from = { vm: model.createVmId("other-0"), incarnation: "1" } as unknown;
    this.mesh.sections.get(section)?.receive(from as mesh.MemberIdentity, payload);
  }
}

function createDeclarations(state: DrawnState): declarations.Declarations {
  const [ratePerSecond, burst] = state.rate ?? [undefined, 0];
  const getHomes = (names: readonly string[] | undefined) =>
    names?.map((name) => model.createRegionId(name));
  return fixtures.createDeclarations(1, {
    routes: [fixtures.createRoute({
      isIdempotent: state.isIdempotent,
      attempts: state.attempts,
      homes: getHomes(state.routeHomes),
      destinations: [
        { service: DESK, weight: 3 },
        ...(state.isSplit ? [{ service: SPARE, weight: 1 }] : []),
      ],
    })],
    workspaces: [{
      id: CITY,
      keys: ["secret"],
      priority: state.priority,
      ratePerSecond,
      burst,
      homes: getHomes(state.workspaceHomes),
    }],
  });
}

const HOMES = fastCheck.option(fastCheck.subarray(["inland", "coast"]), {
  nil: undefined,
  freq: 3,
});

const TARGET: fastCheck.Arbitrary<DrawnTarget> = fastCheck.record({
  service: fastCheck.constantFrom(DESK, DESK, SPARE),
  dataCentre: fastCheck.constantFrom(...REGION_OF.keys()),
  slots: fastCheck.integer({ min: 1, max: 4 }),
  ownLoad: fastCheck.integer({ min: 0, max: 4 }),
  othersLoad: fastCheck.integer({ min: 0, max: 2 }),
  outcomes: fastCheck.array(
    fastCheck.tuple(
      fastCheck.constantFrom<placement.Outcome>("success", "error", "silent", "shed", "survived"),
      fastCheck.integer({ min: 0, max: 900 }),
    ),
    { maxLength: 3 },
  ),
  milliseconds: fastCheck.option(fastCheck.integer({ min: 1, max: 800 }), { nil: undefined }),
  warmUpMilliseconds: fastCheck.constantFrom(0, 0, 0, 4_000),
  isDraining: fastCheck.constantFrom(false, false, false, true),
  pause: fastCheck.constantFrom(undefined, undefined, undefined, "0.1", "3"),
  isMisdirected: fastCheck.constantFrom(false, false, false, true),
});

const STATE: fastCheck.Arbitrary<DrawnState> = fastCheck.record({
  // More than 12 of a service and data centre, so that a sample is drawn.
  targets: fastCheck.oneof(
    fastCheck.array(TARGET, { maxLength: 8 }),
    fastCheck.array(TARGET, { minLength: 50, maxLength: 70 }),
  ),
  evacuated: fastCheck.oneof(
    { weight: 3, arbitrary: fastCheck.constant([]) },
    { weight: 1, arbitrary: fastCheck.subarray(["north", "south"]) },
  ),
  isIdempotent: fastCheck.boolean(),
  attempts: fastCheck.integer({ min: 1, max: 3 }),
  isSplit: fastCheck.boolean(),
  routeHomes: HOMES,
  workspaceHomes: HOMES,
  priority: fastCheck.option(fastCheck.integer({ min: 0, max: 3 }), { nil: undefined }),
  rate: fastCheck.option(
    fastCheck.tuple(fastCheck.integer({ min: 1, max: 30 }), fastCheck.integer({ min: 1, max: 30 })),
    { nil: undefined },
  ),
  tokens: fastCheck.tuple(
    fastCheck.integer({ min: 0, max: 60 }),
    fastCheck.integer({ min: 0, max: 60 }),
  ),
  isConfirmed: fastCheck.constantFrom(true, true, false),
  isFirstStart: fastCheck.boolean(),
  coldRate: fastCheck.constantFrom(undefined, 3.3),
  // After 24 of them, one more request decides whether placement counts on a retry.
  retries: fastCheck.oneof(fastCheck.integer({ min: 0, max: 31 }), fastCheck.constant(24)),
  hedgeShare: fastCheck.constantFrom(0, 0.1, 0.2),
  hedgeRequests: fastCheck.integer({ min: 0, max: 12 }),
  waiting: fastCheck.oneof(
    { weight: 3, arbitrary: fastCheck.constant([]) },
    {
      weight: 1,
      arbitrary: fastCheck.array(fastCheck.integer({ min: 0, max: 2 }), { maxLength: 3 }),
    },
  ),
  isIsolated: fastCheck.constantFrom(false, false, false, false, true),
  otherVms: fastCheck.integer({ min: 0, max: 6 }),
  elapsedMilliseconds: fastCheck.integer({ min: 0, max: 150 }).map((steps) => steps * 10),
  deadlineMilliseconds: fastCheck.constantFrom(undefined, undefined, 3, 60, 1_000, 30_000),
  path: fastCheck.constantFrom("/bookings/1", "/bookings/1", "/bookings/1?of=2", "/elsewhere/1"),
  key: fastCheck.constantFrom("secret", "secret", "secret", "secret", "unheard-of", undefined),
  seed: fastCheck.integer(),
});

/** Around the objective of 500 ms, the timeout of the route and the time that passes before. */
const STOP: fastCheck.Arbitrary<DrawnStop> = fastCheck.record({
  leftMilliseconds: fastCheck.integer({ min: 0, max: 400 }).map((steps) => steps * 10),
  isClosing: fastCheck.boolean(),
});

/** Creates the same VM twice, and stops both in the end. */
async function withTwins(
  state: DrawnState,
  run: (
    explained: TestWorld,
    untouched: TestWorld,
    clock: kernelTesting.TestClock,
  ) => Promise<void>,
): Promise<void> {
  const clock = new kernelTesting.TestClock();
  const originalRandom = Math.random;
  Math.random = drawSeeded;
  const twins = [0, 1].map(() => withSeed(state.seed + 1, () => new TestWorld(state)));
  const [explained, untouched] = twins;
  assert.ok(explained !== undefined && untouched !== undefined);
  try {
    // What other VMs have taken counts only on a VM that has run for some time.
    await clock.advance(10);
    twins.forEach((twin) => withSeed(state.seed + 2, () => twin.begin()));
    await clock.advance(state.elapsedMilliseconds);
    await run(explained, untouched, clock);
  } finally {
    twins.forEach((twin) => twin.stop());
    Math.random = originalRandom;
    clock.restore();
  }
}

const PLACING_STEPS = new Set(["placed", "waits", "passed_on"]);

/** Compares an explanation with what the request got. */
function compare(
  explained: ReturnType<explanations.PlacementExplainer["explain"]>,
  handled: Handled,
): void {
  const { steps } = handled;
  if (explained.isErr()) {
    const { routeUnknown, keyUnknown } = model.ExplanationDiagnostics;
    const expected = handled.status === 404 ? routeUnknown : keyUnknown;
    assert.ok(handled.status === 404 || handled.status === 401, `status ${handled.status}`);
    assert.equal(explained.error.code, expected.code);
    return;
  }
  const { outcome, workspace, candidates, service } = explained.value;
  if (workspace?.rate?.waitsForConfirmation === true) {
    // What the request gets depends on the time until the confirmation.
    assert.equal(steps[0]?.step, "waits_for_rate");
    return;
  }
  const accepted = steps.find(({ step }) => step === "accepted");
  assert.equal(accepted?.["service"], service);
  const first = steps.find(({ step }) => PLACING_STEPS.has(step));
  switch (outcome.kind) {
    case "placed":
      assert.equal(first?.step, "placed");
      assert.deepEqual([first["target"], first["lookAfter"]], [outcome.target, outcome.isProbe]);
      assert.equal(candidates.filter(({ isChosen }) => isChosen).length, 1);
      return;
    case "waits":
      assert.equal(first?.step, "waits");
      assert.equal(first["ahead"], outcome.ahead);
      return;
    case "passed_on":
      assert.equal(first?.step, "passed_on");
      assert.equal(first["vm"], outcome.vm);
      return;
    case "refused": {
      const { status, reason, retryAfterSeconds } = outcome;
      assert.equal(first, undefined);
      assert.deepEqual([handled.status, handled.outcome], [status, reason]);
      const retryAfter = retryAfterSeconds === undefined ? undefined : String(retryAfterSeconds);
      assert.equal(handled.retryAfter, retryAfter);
    }
  }
}

/** A state in which every request is placed. */
const PLAIN: DrawnState = {
  targets: [0, 1].map((): DrawnTarget => ({
    service: DESK,
    dataCentre: NORTH,
    slots: 2,
    ownLoad: 0,
    othersLoad: 0,
    outcomes: [["success", 0]],
    milliseconds: undefined,
    warmUpMilliseconds: 0,
    isDraining: false,
    pause: undefined,
    isMisdirected: false,
  })),
  evacuated: [],
  isIdempotent: true,
  attempts: 2,
  isSplit: false,
  routeHomes: undefined,
  workspaceHomes: undefined,
  priority: undefined,
  rate: undefined,
  tokens: [0, 0],
  isConfirmed: true,
  isFirstStart: true,
  coldRate: undefined,
  retries: 0,
  hedgeShare: 0,
  hedgeRequests: 0,
  waiting: [],
  isIsolated: false,
  otherVms: 1,
  elapsedMilliseconds: 100,
  deadlineMilliseconds: undefined,
  path: "/bookings/1",
  key: "secret",
  seed: 1,
};

test.describe("the explanation of a placement", () => {
  const runs = kernelTesting.getRandomRuns(20_261_205, 300);

  test.it("says something else than what the request then gets, or changes it", async () => {
    const kinds = new Map<string, number>();
    await fastCheck.assert(
      fastCheck.asyncProperty(STATE, async (state) => {
        await withTwins(state, async (world, _untouched, clock) => {
          const explained = world.explain();
          assert.deepEqual(world.explain(), explained, "a second explanation is the same");
          const kind = explained.isOk() ? explained.value.outcome.kind : "error";
          kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
          const handled = await world.send(clock);
          compare(explained, handled);
        });
      }),
      runs,
    );
    for (const kind of ["placed", "waits", "refused", "passed_on", "error"]) {
      assert.ok((kinds.get(kind) ?? 0) > 0, `no state in which a request is ${kind}`);
    }
  });

  test.it("says something else than what the request gets in a VM that stops", async () => {
    const reasons = new Map<string, number>();
    await fastCheck.assert(
      fastCheck.asyncProperty(STATE, STOP, async (drawn, stop) => {
        await withTwins({ ...drawn, stop }, async (world, _untouched, clock) => {
          const explained = world.explain();
          const outcome = explained.isOk() ? explained.value.outcome : undefined;
          const reason = outcome?.kind === "refused" ? outcome.reason : outcome?.kind ?? "error";
          reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
          compare(explained, await world.send(clock));
        });
      }),
      runs,
    );
    for (const reason of ["placed", "waits", "stopping"]) {
      assert.ok((reasons.get(reason) ?? 0) > 0, `no state with the outcome ${reason}`);
    }
  });

  test.it("takes a token, a slot or a rate, is counted, or is reported to other VMs", async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(STATE, async (state) => {
        await withTwins(state, async (world, untouched, clock) => {
          for (let times = 0; times < 3; times++) {
            world.explain();
          }
          assert.deepEqual(await world.observe(), await untouched.observe());
          await clock.advance(300);
          assert.deepEqual(await world.observe(), await untouched.observe());
        });
      }),
      runs,
    );
  });

  test.it("counts on a retry at another level of the budget than the request does", async () => {
    // With 16 retries used, the request itself brings the level above the least one.
    for (const [retries, mayRetry] of [[15, true], [16, true], [17, false]] as const) {
      await withTwins({ ...PLAIN, retries }, (world, untouched) => {
        const level = world.budgets.previewRetryLevel(DESK);
        untouched.budgets.countRequest(DESK);
        assert.equal(level, untouched.budgets.getRetryLevel(DESK));
        const [candidate] = world.explain()._unsafeUnwrap().candidates;
        assert.ok(candidate !== undefined);
        // A failure that cannot be retried costs four objectives.
        const failureCost = candidate.terms.failure / candidate.failureProbability;
        assert.equal(failureCost < 500, mayRetry, `${retries} retries: ${failureCost} ms`);
        return Promise.resolve();
      });
    }
  });

  test.it("names another second target, or time of it, than the request gets", async () => {
    const state = { ...PLAIN, hedgeShare: 0.2, hedgeRequests: 5 };
    await withTwins(state, async (world, untouched, clock) => {
      const explained = world.explain()._unsafeUnwrap();
      const { outcome, hedge } = explained;
      assert.ok(outcome.kind === "placed" && hedge?.kind === "sent", JSON.stringify(hedge));
      assert.notEqual(hedge.target, outcome.target);
      const called: model.TargetId[] = [];
      const { context } = untouched;
      const trace = new log.RequestTrace("");
      context.budgets.countRequest(DESK);
      context.hedges.countRequest(DESK);
      void hedgedCalls.callHedged({
        context,
        trace,
        accepted: {
          priority: 1,
          route: kernel.getDefined(context.store.current?.declarations.routes[0], "A route."),
          workspace: CITY,
          service: DESK,
          id: "",
          homes: undefined,
          arrivedAt: trace.arrivedAt,
          endsAt: trace.arrivedAt + 2_000,
          isLate: false,
          method: "POST",
          path: "/bookings/1",
          headers: [],
        },
        tried: new Set([outcome.target]),
        signal: new AbortController().signal,
        getSituation: () => ({
          isPassedOn: false,
          isBuffered: true,
          attemptsLeft: 1,
          isQuarantined: false,
          haveTargetsEnded: false,
        }),
        call: ({ target }) => {
          called.push(target);
          return new Promise(() => {});
        },
      }, { target: outcome.target, rateToken: undefined });
      await clock.advance(hedge.afterMilliseconds - 20);
      assert.deepEqual(called, [outcome.target]);
      await clock.advance(40);
      assert.deepEqual(called, [outcome.target, hedge.target]);
    });
  });

  for (
    const [name, changes, expected] of [
      ["off", {}, "off"],
      ["not idempotent", { hedgeShare: 0.2, isIdempotent: false }, "not_idempotent"],
      ["without a share", { hedgeShare: 0.1 }, "share_used"],
      ["without attempts", { hedgeShare: 0.2, hedgeRequests: 5, attempts: 1 }, "attempts_used"],
    ] as const
  ) {
    test.it(`lacks the reason for which a request ${name} gets no second attempt`, async () => {
      await withTwins({ ...PLAIN, ...changes }, (world) => {
        const { hedge } = world.explain()._unsafeUnwrap();
        assert.equal(hedge?.kind === "sent" ? undefined : hedge?.reason, expected);
        return Promise.resolve();
      });
    });
  }

  test.it("lists all of many candidates, or not the chosen one", async () => {
    const [target] = PLAIN.targets;
    assert.ok(target !== undefined);
    const targets = Array.from({ length: 70 }, () => target);
    await withTwins({ ...PLAIN, targets }, (world) => {
      const explained = world.explain()._unsafeUnwrap();
      const { candidates, candidateCount, drawn } = explained;
      assert.deepEqual([candidates.length, candidateCount], [50, 70]);
      assert.equal(candidates.filter(({ isChosen }) => isChosen).length, 1);
      const inSample = candidates.filter(({ noiseMilliseconds }) =>
        noiseMilliseconds !== undefined
      );
      assert.ok(inSample.length <= 12, `${inSample.length} in the sample`);
      assert.deepEqual(drawn, ["sample", "noise"]);
      return Promise.resolve();
    });
  });

  test.it("leaves out why a target gets no request", async () => {
    const [target] = PLAIN.targets;
    assert.ok(target !== undefined);
    const south = model.createDataCentreId("south");
    const targets = [
      target,
      { ...target, pause: "3" },
      { ...target, dataCentre: south },
      { ...target, isDraining: true },
      { ...target, warmUpMilliseconds: 4_000 },
    ];
    const getReasons = (world: TestWorld) =>
      world.explain()._unsafeUnwrap().excluded.map(({ id, reason }) => [id, reason]);
    const others = [["target-1", "paused"], ["target-4", "limited"], ["target-3", "leaving"]];
    const state = { ...PLAIN, targets, coldRate: 3.3, otherVms: 6, isFirstStart: false };
    await withTwins({ ...state, evacuated: ["south"] }, (world) => {
      const [paused, limited, leaving] = others;
      assert.deepEqual(getReasons(world), [paused, ["target-2", "evacuated"], limited, leaving]);
      return Promise.resolve();
    });
    await withTwins({ ...state, routeHomes: ["inland"] }, (world) => {
      const [paused, limited, leaving] = others;
      assert.deepEqual(getReasons(world), [
        paused,
        ["target-2", "outside_homes"],
        limited,
        leaving,
      ]);
      return Promise.resolve();
    });
  });

  test.it("contains the key of a caller or of a workspace", async () => {
    await withTwins({ ...PLAIN, rate: [10, 10] }, (world) => {
      const byKey = world.explain()._unsafeUnwrap();
      const byName = world.explainer.explain({ ...world.query, key: undefined, workspace: CITY });
      assert.equal(byName._unsafeUnwrap().workspace?.id, CITY);
      assert.ok(!JSON.stringify([byKey, byName]).includes("secret"));
      return Promise.resolve();
    });
  });

  test.it("of an unknown workspace, or on a VM that is starting, is one of another request", async () => {
    await withTwins(PLAIN, (world) => {
      const { vmStarting, workspaceUnknown } = model.ExplanationDiagnostics;
      const query = { ...world.query, workspace: "nowhere" };
      assert.equal(world.explainer.explain(query)._unsafeUnwrapErr().code, workspaceUnknown.code);
      Object.assign(world.context.startGate, { isOpen: false });
      assert.equal(world.explain()._unsafeUnwrapErr().code, vmStarting.code);
      return Promise.resolve();
    });
  });
});
