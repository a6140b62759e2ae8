/**
 * Tests that a VM that was cut off brings nothing back to the others when it is in contact again.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";
import * as storeFleet from "./store_fleet.ts";

/** Longer than tombstones are kept in any case. */
const LONG_MILLISECONDS = 61_000;

/** Longer than removals are held back. */
const HELD_MILLISECONDS = 2_500;

/** Time between two writes to the store, and longest time until a change is in force. */
const WRITTEN_MILLISECONDS = 200;
const BOUND_MILLISECONDS = 2_000;

const GONE = model.createTargetId("gone");
const LATE = model.createTargetId("late");
const STAYS = "stays";

/** The content of the store at a position. */
interface Content {
  readonly asOf: declarations.StorePosition;
  readonly version: number;
  readonly changes: readonly declarations.TargetChange[];
}

const BEFORE: Content = {
  asOf: fixtures.createPosition(10, 1),
  version: 1,
  changes: [fixtures.createChange(GONE, 3, {}, 1), fixtures.createChange(STAYS, 4, {}, 1)],
};

const AFTER: Content = {
  asOf: fixtures.createPosition(20, 1),
  version: 2,
  changes: [fixtures.createChange(STAYS, 4, {}, 1), fixtures.createChange(LATE, 18, {}, 1)],
};

/** The store after it was restored from a backup that lacks a target. */
const RESTORED: Content = {
  asOf: fixtures.createPosition(5, 2),
  version: 1,
  changes: [fixtures.createChange(STAYS, 4, {}, 2)],
};

/** One VM whose messages the test delivers. */
class TestVm {
  readonly directory = new declarations.TargetDirectory();
  readonly evacuations = new declarations.Evacuations();
  readonly declared = new declarations.DeclarationStore();
  readonly publisher: proxy.Publisher;
  readonly #states = new Map<string, mesh.ReplicatedState>();

  constructor(name: string) {
    const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
    const vmMesh = new mesh.Mesh({
      self: {
        vm: model.createVmId(name),
        incarnation: model.createIncarnation(),
        dataCentre: model.createDataCentreId("north"),
        address: "127.0.0.1:1",
        tag: 1,
        capacity: 5,
      },
      listSeeds: () => [],
      logger,
    });
    vmMesh.addReplicatedState = (state, replicated) => this.#states.set(state, replicated);
    this.publisher = new proxy.Publisher(
      this.declared,
      this.directory,
      this.evacuations,
      vmMesh,
      logger,
      new kernel.Metrics(),
    );
  }

  /** Reads the whole store. */
  read({ asOf, version, changes }: Content): void {
    const present = new Set(changes.map(({ id }) => id));
    const removals = [
      ...this.directory.listMissing(present, asOf),
      ...this.directory.listOutdated(asOf),
    ];
    this.publisher.publishDeclarations(fixtures.createDeclarations(version));
    this.publisher.publishTargets([...changes, ...removals], asOf, asOf);
  }

  get version(): number | undefined {
    return this.declared.current?.declarations.version;
  }

  /** Reads the whole store and returns a target of it. */
  readTarget(content: Content, id: model.TargetId): declarations.TargetEntry {
    this.read(content);
    return this.directory.find(id) ?? assert.fail();
  }

  /** Compares the digests of another VM and takes its snapshots, as over a new link. */
  hear(other: TestVm): void {
    for (const [name, state] of this.#states) {
      const sent = other.#states.get(name) ?? assert.fail();
      if (state.digest?.isBehind(copy(sent.digest?.get())) === true) {
        state.receive(copy(sent.createSnapshot()));
      }
    }
  }

  list(): string[] {
    return this.directory.listChanges().flatMap(({ id, entry }) => entry === undefined ? [] : [id])
      .sort();
  }
}

/** What arrives of a message: an absent value is null. */
function copy(message: unknown): unknown {
  return message === undefined
    ? undefined
    : JSON.parse(JSON.stringify(message, (_, value: unknown) => value ?? null));
}

async function withClock(run: (clock: kernelTesting.TestClock) => Promise<void>): Promise<void> {
  const clock = new kernelTesting.TestClock();
  try {
    await run(clock);
  } finally {
    clock.restore();
  }
}

test.describe("a VM that is in contact again", () => {
  test.test("brings a removed target back at a VM that has started and read the store", () => {
    const [cutOff, started] = [new TestVm("cut-off"), new TestVm("started")];
    cutOff.read(BEFORE);
    started.read(AFTER);
    started.hear(cutOff);
    assert.deepEqual(started.list(), [LATE, STAYS]);
    cutOff.hear(started);
    assert.deepEqual(cutOff.list(), [LATE, STAYS], "it follows the later list at once");
    assert.equal(cutOff.declared.current?.declarations.version, 2);
  });

  test.test("brings a removed target back at a VM that has started and heard of the store", () => {
    const [cutOff, reading, started] = ["cut-off", "reading", "started"].map((name) =>
      new TestVm(name)
    );
    assert.ok(cutOff !== undefined && reading !== undefined && started !== undefined);
    cutOff.read(BEFORE);
    reading.read(AFTER);
    started.hear(reading);
    started.hear(cutOff);
    assert.deepEqual(started.list(), [LATE, STAYS]);
    assert.equal(started.declared.current?.declarations.version, 2);
  });

  test.test("brings a target back once the others have forgotten that it was removed", async () => {
    await withClock(async (clock) => {
      const [cutOff, other] = [new TestVm("cut-off"), new TestVm("other")];
      cutOff.read(BEFORE);
      other.read(BEFORE);
      other.read(AFTER);
      await clock.advance(LONG_MILLISECONDS, LONG_MILLISECONDS);
      other.directory.discardExpired();
      other.hear(cutOff);
      assert.deepEqual(other.list(), [LATE, STAYS]);
    });
  });

  test.test("brings back the targets of an earlier era of the store", () => {
    const [cutOff, started] = [new TestVm("cut-off"), new TestVm("started")];
    cutOff.read(BEFORE);
    started.read(RESTORED);
    started.hear(cutOff);
    assert.deepEqual(started.list(), [STAYS]);
  });

  test.test("keeps what is gone while it was the only one to know the targets", () => {
    const [cutOff, started] = [new TestVm("cut-off"), new TestVm("started")];
    cutOff.read(BEFORE);
    started.hear(cutOff);
    assert.deepEqual(started.list(), [GONE, STAYS], "in use while the store is away");
    const reading = new TestVm("reading");
    reading.read(AFTER);
    started.hear(reading);
    assert.deepEqual(started.list(), [LATE, STAYS]);
  });
});

test.describe("a VM that is in contact again, beside one that has started,", () => {
  test.test("brings back a version, and with it a withdrawn key", () => {
    const [cutOff, reading, started] = ["cut-off", "reading", "started"].map((name) =>
      new TestVm(name)
    );
    assert.ok(cutOff !== undefined && reading !== undefined && started !== undefined);
    cutOff.read(BEFORE);
    started.hear(cutOff);
    assert.equal(started.version, BEFORE.version, "there is no other");
    reading.read(AFTER);
    started.hear(reading);
    for (const vm of [started, reading]) {
      vm.hear(cutOff);
      assert.equal(vm.version, AFTER.version);
    }
  });

  test.test("brings back a rate that its target states no more", () => {
    const [cutOff, other, started] = ["cut-off", "other", "started"].map((name) =>
      new TestVm(name)
    );
    assert.ok(cutOff !== undefined && other !== undefined && started !== undefined);
    const target = cutOff.readTarget(BEFORE, GONE);
    cutOff.publisher.publishRate(target, 10);
    other.read(BEFORE);
    other.hear(cutOff);
    assert.equal(other.directory.findRate(GONE), 10);
    other.publisher.publishRate(target, undefined);
    started.hear(cutOff);
    assert.equal(started.directory.findRate(GONE), 10, "nobody has told otherwise");
    started.hear(other);
    for (const vm of [started, other]) {
      vm.hear(cutOff);
      assert.equal(vm.directory.findRate(GONE) ?? undefined, undefined);
    }
  });
});

test.describe("a VM that has seen the store return", () => {
  test.test("drops a target that has yet to register again, by the list of a VM that started", async () => {
    await withClock(async (clock) => {
      const [other, started] = [new TestVm("other"), new TestVm("started")];
      other.read(BEFORE);
      started.read(AFTER);
      other.publisher.removalHold.begin(true);
      other.hear(started);
      assert.deepEqual(other.list(), [GONE, LATE, STAYS]);
      await clock.advance(HELD_MILLISECONDS);
      other.publisher.releaseRemovals();
      assert.deepEqual(other.list(), [LATE, STAYS]);
    });
  });

  test.test("drops a target that a restored store lacks before it can have registered again", async () => {
    await withClock(async (clock) => {
      const [other, started] = [new TestVm("other"), new TestVm("started")];
      other.read(BEFORE);
      started.read(RESTORED);
      other.hear(started);
      assert.deepEqual(other.list(), [GONE, STAYS]);
      await clock.advance(HELD_MILLISECONDS);
      other.publisher.releaseRemovals();
      assert.deepEqual(other.list(), [STAYS]);
    });
  });

  test.test("follows the list of another VM late because it has stood still itself", () => {
    const [stoodStill, other] = [new TestVm("stood-still"), new TestVm("other")];
    stoodStill.read(BEFORE);
    other.read(AFTER);
    stoodStill.publisher.removalHold.begin(false);
    stoodStill.hear(other);
    assert.deepEqual(stoodStill.list(), [LATE, STAYS]);
  });
});

test.test("VMs that do not read the store cannot tell a removed target from an unknown one", async () => {
  await storeFleet.withStoreFleet(2, 4, async (dataCentres, store) => {
    const vms = dataCentres.flat();
    for (let round = 0; round < 5; round++) {
      store.registerTarget(GONE);
      store.registerTarget(STAYS);
      await kernel.sleep(WRITTEN_MILLISECONDS);
      store.removeTarget(GONE);
      const removedAt = fixtures.createPosition(store.version);
      await kernelTesting.waitFor(
        () => vms.every(({ directory }) => directory.covers(removedAt)),
        "all VMs know the list as of the removal",
        BOUND_MILLISECONDS,
      );
      assert.ok(vms.every(({ directory }) => directory.find(GONE) === undefined));
    }
  });
});

test.test("lists of VMs of an earlier version of the program are refused", () => {
  let state: mesh.ReplicatedState | undefined;
  const vm = new TestVm("vm");
  const vmMesh = {
    addReplicatedState: (name: string, added: mesh.ReplicatedState) => {
      state = name === "targets" ? added : state;
    },
    addSection: () => undefined,
  } as unknown as mesh.Mesh;
  const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
  const { declared, directory, evacuations } = vm;
  new proxy.Publisher(declared, directory, evacuations, vmMesh, logger, new kernel.Metrics());
  assert.ok(state?.digest !== undefined);
  assert.equal(state.digest.isBehind(0), false);
  assert.equal(state.digest.isBehind(77), true);
  const { entry } = fixtures.createChange(STAYS, 4);
  const head = { id: "", revision: 9, era: 1, entry: null };
  state.receive([head, { id: STAYS, revision: 4, entry }]);
  assert.deepEqual(vm.list(), [STAYS]);
  const sent = state.createSnapshot() as { id: string; entry: unknown }[];
  assert.deepEqual(sent.map(({ id }) => id), ["", STAYS]);
  assert.equal(sent[0]?.entry, null);
});
