/**
 * Tests of orders to evacuate a data centre, and of the homes of requests, on complete VMs.
 */

import * as assert from "node:assert/strict";
import type * as http from "node:http";
import * as stream from "node:stream";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as testing from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as proxy from "@hemlockwalk/proxy";
import * as monitors from "../src/evacuation_monitor.ts";
import * as peers from "../src/serving_peers.ts";
import * as trackers from "../src/target_tracker.ts";
import * as harness from "./harness.ts";

/** Longer than withdrawals are held back after a restore of the store. */
const HELD_MILLISECONDS = 2_300;

const CALLS = 30;

const NORTH = model.createDataCentreId("north");
const SOUTH = model.createDataCentreId("south");
const [EU, US] = [model.createRegionId("eu"), model.createRegionId("us")];
const REGIONS: placement.Regions = {
  byDataCentre: new Map([[NORTH, EU], [SOUTH, US]]),
  own: EU,
};

const { evacuationOrdered, evacuationWithdrawn } = kernel.LogMessages;

function hasLogged(vm: harness.TestVm, message: { readonly code: number }): boolean {
  return vm.log.some(({ code }) => code === message.code);
}

/** Starts a VM with one target in each of the given data centres. */
async function withTargets(
  dataCentres: readonly model.DataCentreId[],
  run: (vm: harness.TestVm, targets: readonly harness.TestTarget[]) => Promise<void>,
  changes: Partial<declarations.TargetEntry> = {},
  declared = harness.createDeclarations(1),
): Promise<void> {
  const store = new harness.MemoryStore();
  const vm = new harness.TestVm({ name: "vm", store, seeds: [], regions: REGIONS });
  const targets = dataCentres.map((_, index) => new harness.TestTarget(`target-${index}`));
  try {
    for (const [index, target] of targets.entries()) {
      await target.start();
      const dataCentre = dataCentres[index] ?? NORTH;
      store.put(target.createChange(index + 2, { dataCentre, ...changes }));
    }
    await vm.start(0, declared);
    await run(vm, targets);
  } finally {
    await vm.stop();
    targets.forEach((target) => target.stop());
  }
}

async function evacuate(vm: harness.TestVm, dataCentre: string): Promise<void> {
  vm.store.evacuate(dataCentre);
  await harness.waitFor(() => hasLogged(vm, evacuationOrdered), "the order is in force");
}

async function callMany(vm: harness.TestVm, path = "/bookings/1"): Promise<number[]> {
  const answers = await Promise.all(
    Array.from({ length: CALLS }, () => vm.call({ path })),
  );
  return answers.map(({ status }) => status);
}

test.describe("an order to evacuate", () => {
  test.test("no request reaches a target of the data centre, until the order is withdrawn", async () => {
    await withTargets([NORTH, SOUTH], async (vm, [north, south]) => {
      assert.ok(north !== undefined && south !== undefined);
      await callMany(vm);
      const before = north.requests.length;
      assert.ok(before > 0);
      await evacuate(vm, "north");
      assert.deepEqual(new Set(await callMany(vm)), new Set([200]));
      assert.equal(north.requests.length, before);
      vm.store.evacuate("north", false);
      await harness.waitFor(() => hasLogged(vm, evacuationWithdrawn), "the order is withdrawn");
      // While the targets carry the cost of a warm-up, a single burst may pass them by.
      const endsAt = performance.now() + declarations.RETURN_MILLISECONDS;
      while (north.requests.length === before && performance.now() < endsAt) {
        await callMany(vm);
        await kernel.sleep(100);
      }
      assert.ok(north.requests.length > before, "it is used within the time of its return");
    }, { slots: 100 });
  });

  test.test("a running request ends, and one that waits is refused as not run", async () => {
    await withTargets(
      [NORTH],
      async (vm, [north]) => {
        assert.ok(north !== undefined);
        const held: (() => void)[] = [];
        north.behaviour = (request, response) =>
          held.push(() => harness.answerSuccess(request, response));
        // One runs, one more may wait at the target, and the third waits at the VM.
        const running = [vm.call(), vm.call()];
        await harness.waitFor(() => held.length === 2, "the target runs what it takes");
        const headers = { [harness.PROFILE.deadline]: "20000" };
        const waiting = vm.call({ path: "/slow/1", headers });
        await kernel.sleep(50);
        await evacuate(vm, "north");
        const refused = await waiting;
        assert.deepEqual([refused.status, refused.headers["retry-after"]], [503, undefined]);
        assert.equal(vm.getTrace("request-3").line.outcome, "evacuated");
        held.forEach((answer) => answer());
        const statuses = (await Promise.all(running)).map(({ status }) => status);
        assert.deepEqual(statuses, [200, 200]);
        assert.equal(held.length, 2);
      },
      { slots: 1 },
      harness.createDeclarations(1, {
        routes: [
          harness.createRoute(),
          harness.createRoute({
            id: model.createRouteId("slow"),
            pathPrefix: "/slow/",
            // Long enough that the request still waits when the order arrives.
            objectiveMilliseconds: 4_000,
            timeoutMilliseconds: 20_000,
          }),
        ],
      }),
    );
  });

  test.test("a failed request is not repeated in the data centre", async () => {
    await withTargets([NORTH, SOUTH], async (vm, [north, south]) => {
      assert.ok(north !== undefined && south !== undefined);
      await evacuate(vm, "north");
      south.behaviour = (request: http.IncomingMessage, response: http.ServerResponse) => {
        response.writeHead(500, harness.createAnswerHeaders(request));
        response.end("failed");
      };
      const statuses = await callMany(vm, "/reads/1");
      assert.equal(north.requests.length, 0);
      assert.deepEqual(new Set(statuses), new Set([500]));
    }, { slots: 100 });
  });

  test.test("a connection that opens after the order carries no request", () => {
    const evacuations = new declarations.Evacuations();
    const { tracker, entry } = createTracker(evacuations);
    assert.equal(tracker.accepts(entry, undefined), true);
    evacuations.apply({
      dataCentre: NORTH,
      position: fixtures.createPosition(9),
      isEvacuated: true,
    });
    assert.equal(tracker.accepts(entry, undefined), false);
  });

  test.test("after it the targets carry the cost of a warm-up, so that load returns gradually", async () => {
    const clock = new testing.TestClock();
    try {
      const evacuations = new declarations.Evacuations();
      const { tracker, entry } = createTracker(evacuations);
      const getWarmUp = () =>
        tracker.listCandidates(entry.service, new Set(), undefined)[0]?.warmUpMilliseconds;
      assert.equal(getWarmUp(), 0);
      for (const isEvacuated of [true, false]) {
        const position = fixtures.createPosition(isEvacuated ? 9 : 10);
        evacuations.apply({ dataCentre: NORTH, position, isEvacuated });
      }
      assert.equal(getWarmUp(), 5_000);
      await clock.advance(5_000);
      assert.equal(getWarmUp(), 0);
    } finally {
      clock.restore();
    }
  });

  test.test("a restored store that lacks it does not end it while it may be written again", async () => {
    await withTargets([NORTH, SOUTH], async (vm, [north]) => {
      assert.ok(north !== undefined);
      await evacuate(vm, "north");
      const { targets, revision } = vm.store;
      vm.store.restore(targets, revision - 1);
      const restoredAt = performance.now();
      await kernel.sleep(HELD_MILLISECONDS / 2);
      vm.store.evacuate("north");
      await kernel.sleep(HELD_MILLISECONDS);
      await callMany(vm);
      assert.equal(hasLogged(vm, evacuationWithdrawn), false);
      assert.equal(north.requests.length, 0);
      assert.ok(performance.now() - restoredAt > HELD_MILLISECONDS);
    }, { slots: 100 });
  });

  test.test("it ends if a restored store lacks it for longer", async () => {
    await withTargets([NORTH], async (vm) => {
      await evacuate(vm, "north");
      vm.store.restore(vm.store.targets, vm.store.revision - 1);
      await kernel.sleep(HELD_MILLISECONDS - 300);
      assert.equal((await vm.call()).status, 503, "it is held back");
      await harness.waitFor(() => hasLogged(vm, evacuationWithdrawn), "the order has ended");
      assert.equal((await vm.call()).status, 200);
    });
  });

  test.test("a VM that starts, and one that cannot read the store, learn of it from a peer", async () => {
    await withTargets([NORTH, SOUTH], async (vm, [north]) => {
      assert.ok(north !== undefined);
      await evacuate(vm, "north");
      const store = new harness.MemoryStore();
      store.isAvailable = false;
      const other = new harness.TestVm({ name: "other", store, seeds: [vm.peerAddress] });
      try {
        await other.start(0);
        assert.deepEqual(new Set(await callMany(other)), new Set([200]));
        assert.equal(north.requests.length, 0, "it knows the order before it serves");
        vm.store.evacuate("north", false);
        await harness.waitFor(
          () => hasLogged(other, evacuationWithdrawn),
          "the order is withdrawn",
        );
        await evacuateAgain(vm, other);
        assert.deepEqual(new Set(await callMany(other)), new Set([200]));
        assert.equal(north.requests.length, 0);
      } finally {
        await other.stop();
      }
    }, { slots: 100 });
  });
});

async function evacuateAgain(vm: harness.TestVm, other: harness.TestVm): Promise<void> {
  other.log.length = 0;
  vm.store.evacuate("north");
  await harness.waitFor(() => hasLogged(other, evacuationOrdered), "the other VM has the order");
}

test.describe("homes", () => {
  test.test("no request leaves them; without a target there it is refused at once", async () => {
    await withTargets(
      [NORTH, SOUTH],
      async (vm, [north, south]) => {
        assert.ok(north !== undefined && south !== undefined);
        assert.deepEqual(new Set(await callMany(vm)), new Set([200]));
        assert.equal(south.requests.length, 0);
        const { position } = north.createChange(60);
        vm.store.put({ id: north.id, position, entry: undefined });
        await harness.waitFor(() => hasLogged(vm, kernel.LogMessages.targetChanged), "it is gone");
        const answer = await vm.call({ headers: { [harness.PROFILE.requestId]: "away" } });
        assert.deepEqual([answer.status, answer.headers["retry-after"]], [503, undefined]);
        assert.equal(vm.getTrace("away").line.outcome, "outside_homes");
        assert.equal(south.requests.length, 0);
      },
      { slots: 100 },
      harness.createDeclarations(1, {
        routes: [harness.createRoute({ homes: [EU] })],
      }),
    );
  });

  test.test("a failed request is not repeated outside them, and those of its workspace count", async () => {
    const declared = harness.createDeclarations(1);
    await withTargets(
      [NORTH, SOUTH],
      async (vm, [north, south]) => {
        assert.ok(north !== undefined && south !== undefined);
        north.behaviour = (request, response) => {
          response.writeHead(500, harness.createAnswerHeaders(request));
          response.end("failed");
        };
        assert.deepEqual(new Set(await callMany(vm, "/reads/1")), new Set([500]));
        assert.equal(south.requests.length, 0);
      },
      { slots: 100 },
      {
        ...declared,
        workspaces: declared.workspaces.map((workspace) => ({ ...workspace, homes: [EU] })),
      },
    );
  });
});

test.it("a VM without a path passes a request on within its homes or its own region only", () => {
  const vmMesh = createMesh("vm");
  const list = (others: readonly model.DataCentreId[], homes: placement.Homes) => {
    vmMesh.listOthers = () =>
      others.map((dataCentre, index) => ({
        ...vmMesh.self,
        vm: model.createVmId(`${dataCentre}-${index}`),
        dataCentre,
      }));
    const path = { isVmIsolated: () => false } as unknown as proxy.PathMonitor;
    const servingPeers = new peers.ServingPeers(vmMesh, path, new placement.HomePolicy(REGIONS));
    return servingPeers.choose(new Set(), homes)?.vm;
  };
  assert.equal(list([SOUTH], [EU]), undefined);
  assert.equal(list([SOUTH], undefined), "south-0");
  assert.equal(list([SOUTH, NORTH], [EU]), "north-1");
  assert.equal(list([SOUTH], [US]), "south-0");
  assert.equal(list([NORTH], [US]), "north-0", "the region in which the request already is");
});

test.it("names without a data centre or region are warned of once, and orders are exported", async () => {
  const clock = new testing.TestClock();
  try {
    const codes: number[] = [];
    const output = new stream.Writable({
      write: (line: Buffer, _encoding, callback) => {
        codes.push((JSON.parse(line.toString()) as { code: number }).code);
        callback();
      },
    });
    const logger = new kernel.ComponentLogger(
      kernel.createOutputLogger("vm", "info", output),
      "declarations",
    );
    const store = new declarations.DeclarationStore();
    const evacuations = new declarations.Evacuations();
    const metrics = new kernel.Metrics();
    const monitor = new monitors.EvacuationMonitor(
      store,
      new declarations.TargetDirectory(),
      evacuations,
      new placement.HomePolicy(REGIONS),
      logger,
      metrics,
    );
    for (const version of [1, 2]) {
      const homes = [EU, model.createRegionId("ue")];
      const routes = [fixtures.createRoute({ homes })];
      store.apply(fixtures.createDeclarations(version, { routes }));
    }
    for (const [index, name] of ["north", "nroth"].entries()) {
      const dataCentre = model.createDataCentreId(name);
      const position = fixtures.createPosition(index + 3);
      evacuations.apply({ dataCentre, position, isEvacuated: true });
    }
    await clock.advance(6_000);
    monitor.check();
    monitor.check();
    const { homeUnknown, evacuationUnknown } = kernel.LogMessages;
    assert.deepEqual(codes, [homeUnknown.code, evacuationUnknown.code]);
    const text = await metrics.registry.metrics();
    assert.match(text, /hemlockwalk_evacuated_data_centres 2/);
    assert.match(text, /hemlockwalk_evacuated_seconds\{data_centre="nroth"\} 6/);
  } finally {
    clock.restore();
  }
});

test.describe("the messages on orders", () => {
  test.test("a VM that was cut off while the store was restored does not end an order at once", async () => {
    const clock = new testing.TestClock();
    try {
      const [vm, restored] = [new MessageVm("vm"), new MessageVm("restored")];
      const order = { dataCentre: NORTH, position: fixtures.createPosition(9, 1) };
      vm.publisher.publishEvacuations(
        [{ ...order, isEvacuated: true }],
        fixtures.createPosition(9, 1),
        fixtures.createPosition(9, 1),
      );
      // It has started since, and has read the backup, which lacks the order.
      restored.publisher.publishEvacuations([], undefined, fixtures.createPosition(5, 2));
      vm.hear(restored);
      vm.publisher.releaseRemovals();
      assert.equal(vm.evacuations.isEvacuated(NORTH), true);
      await clock.advance(HELD_MILLISECONDS + 100);
      vm.publisher.releaseRemovals();
      assert.equal(vm.evacuations.isEvacuated(NORTH), false);
    } finally {
      clock.restore();
    }
  });

  test.test("reports carry orders through VMs that do not know the state", () => {
    const [vm, other] = [new MessageVm("vm"), new MessageVm("other")];
    assert.equal(vm.report(), undefined, "without an order nothing is sent");
    const order = { dataCentre: NORTH, position: fixtures.createPosition(9), isEvacuated: true };
    vm.publisher.publishEvacuations([order], undefined, undefined);
    other.receiveReport(vm.report());
    assert.equal(other.evacuations.isEvacuated(NORTH), true);
    assert.equal(vm.report(), undefined, "sent once, and then at intervals");
  });

  test.test("two VMs that were cut off are told that an order is withdrawn", () => {
    const [early, late, current] = ["early", "late", "current"].map((name) => new MessageVm(name));
    assert.ok(early !== undefined && late !== undefined && current !== undefined);
    const order = { dataCentre: NORTH, position: fixtures.createPosition(7), isEvacuated: true };
    early.publisher.publishEvacuations([], undefined, fixtures.createPosition(5));
    late.publisher.publishEvacuations([order], undefined, fixtures.createPosition(8));
    // The order was withdrawn at 10.
    current.publisher.publishEvacuations([], undefined, fixtures.createPosition(20));
    early.hear(late);
    assert.equal(early.evacuations.isEvacuated(NORTH), true, "it cannot know better");
    current.receiveReport(early.report());
    assert.equal(current.evacuations.isEvacuated(NORTH), false);
    early.receiveReport(current.report());
    assert.equal(early.evacuations.isEvacuated(NORTH), false);
  });

  test.test("a malformed or unknown message changes nothing", () => {
    const vm = new MessageVm("vm");
    const order = { dataCentre: NORTH, position: fixtures.createPosition(9), isEvacuated: true };
    vm.publisher.publishEvacuations([order], undefined, undefined);
    for (const message of [null, undefined, 4, [], {}, { mark: {}, changes: "none" }]) {
      assert.equal(vm.state.receive(message), false);
      vm.receiveReport(message);
    }
    assert.equal(vm.state.digest?.isBehind(0), false);
    assert.equal(vm.state.digest?.isBehind(undefined), false);
    assert.equal(vm.evacuations.isEvacuated(NORTH), true);
  });
});

test.describe("the start gate with orders", () => {
  test.test("it waits for those of a known peer, but not beyond the maximum hold time", async () => {
    for (const arrives of [true, false]) {
      const clock = new testing.TestClock();
      const store = new declarations.DeclarationStore();
      const directory = new declarations.TargetDirectory();
      const evacuations = new declarations.Evacuations();
      const gate = new proxy.StartGate(store, directory, {
        isCurrent: () => evacuations.mark.asOf !== undefined,
        onConfirm: (listener) => evacuations.onConfirm(listener),
      });
      try {
        gate.start();
        store.apply(fixtures.createDeclarations(1));
        directory.apply(fixtures.createChange("target", 1));
        assert.equal(gate.isOpen, false);
        if (arrives) {
          evacuations.confirm(fixtures.createPosition(4));
        } else {
          await clock.advance(proxy.MAX_HOLD_MILLISECONDS);
        }
        assert.equal(gate.isOpen, true);
      } finally {
        gate.stop();
        clock.restore();
      }
    }
  });
});

function createMesh(name: string): mesh.Mesh {
  return new mesh.Mesh({
    self: {
      vm: model.createVmId(name),
      incarnation: model.createIncarnation(),
      dataCentre: NORTH,
      address: "127.0.0.1:1",
      tag: 1,
      capacity: 5,
    },
    listSeeds: () => [],
    logger: createLogger(),
  });
}

function createTracker(evacuations: declarations.Evacuations) {
  const directory = new declarations.TargetDirectory();
  const change = fixtures.createChange("target", 1);
  directory.apply(change);
  const tracker = new trackers.TargetTracker(
    directory,
    evacuations,
    new placement.HomePolicy(REGIONS),
    createMesh("vm"),
    createLogger(),
    new kernel.Metrics(),
    () => 1,
    "127.0.0.1",
    () => undefined,
  );
  return { tracker, entry: change.entry ?? assert.fail() };
}

function createLogger(): kernel.ComponentLogger {
  return new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
}

/** One VM whose messages the test delivers. */
class MessageVm {
  readonly evacuations = new declarations.Evacuations();
  readonly publisher: proxy.Publisher;
  readonly #states = new Map<string, mesh.ReplicatedState>();
  readonly #sections = new Map<string, mesh.ReportSection>();
  readonly #self: mesh.MemberIdentity;

  constructor(name: string) {
    const vmMesh = createMesh(name);
    this.#self = vmMesh.self;
    vmMesh.addReplicatedState = (state, replicated) => this.#states.set(state, replicated);
    vmMesh.addSection = (section, added) => this.#sections.set(section, added);
    this.publisher = new proxy.Publisher(
      new declarations.DeclarationStore(),
      new declarations.TargetDirectory(),
      this.evacuations,
      vmMesh,
      createLogger(),
      new kernel.Metrics(),
    );
  }

  get state(): mesh.ReplicatedState {
    return this.#states.get("evacuations") ?? assert.fail();
  }

  /** Compares the digest of another VM and takes its snapshot, as over a new link. */
  hear(other: MessageVm): void {
    if (this.state.digest?.isBehind(copy(other.state.digest?.get())) === true) {
      this.state.receive(copy(other.state.createSnapshot()));
    }
  }

  report(): unknown {
    return copy(this.#sections.get("evacuations")?.collect(1));
  }

  receiveReport(payload: unknown): void {
    this.#sections.get("evacuations")?.receive(this.#self, payload);
  }
}

function copy(message: unknown): unknown {
  return message === undefined ? undefined : JSON.parse(JSON.stringify(message));
}
