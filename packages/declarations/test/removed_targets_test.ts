/**
 * Tests that no copy of the list of targets brings back what has been removed, however long ago,
 * and that none loses what is there.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fc from "fast-check";

/** Longer than tombstones are kept in any case. */
const LONG_MILLISECONDS = 61_000;

const TARGET = model.createTargetId("a");

/** The content of the store and its removals. */
class Store {
  readonly entries = new Map<model.TargetId, declarations.TargetChange>();
  readonly removals: declarations.TargetChange[] = [];
  #revision = 0;

  get asOf(): declarations.StorePosition {
    return fixtures.createPosition(this.#revision);
  }

  put(id: string): void {
    const change = fixtures.createChange(id, ++this.#revision);
    this.entries.set(change.id, change);
  }

  remove(id: string): void {
    const removal = fixtures.createRemoval(id, ++this.#revision);
    if (this.entries.delete(removal.id)) {
      this.removals.push(removal);
    }
  }
}

/** Reads the whole store. */
function read(directory: declarations.TargetDirectory, store: Store): void {
  const { asOf } = store;
  const changes = [...store.entries.values()];
  directory.listMissing(new Set(store.entries.keys()), asOf).forEach((one) => directory.apply(one));
  changes.forEach((change) => directory.apply(change, asOf));
  directory.confirm(asOf);
}

function merge(directory: declarations.TargetDirectory, list: declarations.TargetList): void {
  const apply: declarations.ChangeSink = (change, asOf) => directory.apply(change, asOf);
  declarations.mergeChanges(list, directory, apply);
  declarations.mergeRemovals(list, directory, apply);
}

/** Sends a whole list if the receiver asks for it. */
function send(from: declarations.TargetDirectory, to: declarations.TargetDirectory): void {
  if (to.isBehind(from.mark)) {
    merge(to, declarations.createWholeList(from));
  }
}

/** Creates a directory that takes back no change of a target, remembered or not. */
function createDirectory(): declarations.TargetDirectory {
  const directory = new declarations.TargetDirectory();
  const latest = new Map<model.TargetId, declarations.StorePosition>();
  directory.onChange(({ id, position }) => {
    const known = latest.get(id);
    assert.ok(known === undefined || declarations.isLaterPosition(position, known), "taken back");
    latest.set(id, position);
  });
  return directory;
}

/** Checks that a directory is the store's list as of the position that it states. */
function checkCoverage(directory: declarations.TargetDirectory, store: Store): void {
  const held = new Map(
    directory.listChanges().filter(({ entry }) => entry !== undefined).map((one) => [one.id, one]),
  );
  for (const { id, position } of store.removals.filter((one) => directory.covers(one.position))) {
    const entry = held.get(id);
    assert.ok(
      entry === undefined || declarations.isLaterPosition(entry.position, position),
      "a removed target is back",
    );
  }
  for (
    const change of [...store.entries.values()].filter((one) => directory.covers(one.position))
  ) {
    assert.equal(held.get(change.id), change, "a present target is lost");
  }
}

async function withClock(run: (clock: testing.TestClock) => Promise<void> | void): Promise<void> {
  const clock = new testing.TestClock();
  try {
    await run(clock);
  } finally {
    clock.restore();
  }
}

test.describe("removed targets", () => {
  test.test("a VM that was cut off brings a target back at a VM that started after the removal", () => {
    const store = new Store();
    const cutOff = new declarations.TargetDirectory();
    store.put(TARGET);
    store.put("b");
    read(cutOff, store);
    store.remove(TARGET);
    const started = new declarations.TargetDirectory();
    read(started, store);
    // Even unasked.
    merge(started, declarations.createWholeList(cutOff));
    assert.equal(started.find(TARGET), undefined);
    send(started, cutOff);
    assert.equal(cutOff.find(TARGET), undefined, "its own copy is put right at once");
  });

  test.test("a VM that was cut off brings a target back whose tombstone has expired", async () => {
    await withClock(async (clock) => {
      const store = new Store();
      const [cutOff, other] = [
        new declarations.TargetDirectory(),
        new declarations.TargetDirectory(),
      ];
      store.put(TARGET);
      store.put("b");
      read(cutOff, store);
      read(other, store);
      store.remove(TARGET);
      read(other, store);
      await clock.advance(LONG_MILLISECONDS, LONG_MILLISECONDS);
      other.discardExpired();
      assert.equal(other.listChanges().length, 1, "the tombstone has expired");
      merge(other, declarations.createWholeList(cutOff));
      assert.equal(other.find(TARGET), undefined);
    });
  });

  test.test("a tombstone expires before the list is complete as of its position", async () => {
    await withClock(async (clock) => {
      const store = new Store();
      const other = new declarations.TargetDirectory();
      store.put(TARGET);
      read(other, store);
      const old = declarations.createWholeList(other);
      other.apply(fixtures.createRemoval(TARGET, 9));
      await clock.advance(LONG_MILLISECONDS, LONG_MILLISECONDS);
      other.discardExpired();
      merge(other, old);
      assert.equal(other.find(TARGET), undefined);
    });
  });

  test.test("a list of an earlier era of the store is taken over", () => {
    const started = new declarations.TargetDirectory();
    started.confirm(fixtures.createPosition(3, 2));
    const old = new declarations.TargetDirectory();
    old.apply(fixtures.createChange("a", 900, {}, 1));
    old.confirm(fixtures.createPosition(900, 1));
    assert.equal(started.isBehind(old.mark), false);
    merge(started, declarations.createWholeList(old));
    assert.equal(started.isEmpty, true);
    assert.equal(started.getLatestEra(), 2);
  });

  test.test("what only a VM that was cut off knows is lost while nobody reads the store", () => {
    const store = new Store();
    const cutOff = new declarations.TargetDirectory();
    store.put(TARGET);
    read(cutOff, store);
    const started = new declarations.TargetDirectory();
    send(cutOff, started);
    assert.notEqual(started.find(TARGET), undefined);
  });

  test.test("lists with different entries have the same digest", () => {
    const digests = new Set<number>();
    const revisions = Array.from({ length: 40 }, (_, index) => index + 1);
    for (const first of revisions) {
      for (const second of revisions) {
        const directory = new declarations.TargetDirectory();
        directory.apply(fixtures.createChange("a", first));
        directory.apply(fixtures.createChange("b", second));
        digests.add(directory.mark.digest);
      }
    }
    assert.equal(digests.size, revisions.length ** 2);
  });

  test.test("a removed target comes back, or a present one is lost, in a drawn history", async () => {
    const vm = fc.nat(3);
    const id = fc.constantFrom("a", "b");
    const step = fc.oneof(
      fc.record({ kind: fc.constant("put" as const), id }),
      fc.record({ kind: fc.constant("remove" as const), id }),
      fc.record({ kind: fc.constant("read" as const), vm }),
      fc.record({ kind: fc.constant("restart" as const), vm }),
      fc.record({ kind: fc.constant("ask" as const), vm, other: vm }),
      // Messages that are on their way for long, or to a VM that stands still.
      fc.record({
        kind: fc.constant("write" as const),
        vm,
        isWhole: fc.boolean(),
        part: fc.nat(7),
      }),
      fc.record({ kind: fc.constant("deliver" as const), vm, message: fc.nat(5) }),
      fc.record({ kind: fc.constant("forget" as const), vm }),
    );
    await withClock(async (clock) => {
      await fc.assert(
        fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 60 }), async (steps) => {
          const store = new Store();
          const vms = Array.from({ length: 4 }, createDirectory);
          const messages: declarations.TargetList[] = [];
          const get = (index: number) => vms[index] ?? assert.fail();
          for (const one of steps) {
            switch (one.kind) {
              case "put":
                store.put(one.id);
                break;
              case "remove":
                store.remove(one.id);
                break;
              case "read":
                read(get(one.vm), store);
                break;
              case "restart":
                vms[one.vm] = createDirectory();
                break;
              case "ask":
                send(get(one.other), get(one.vm));
                break;
              case "write": {
                const whole = declarations.createWholeList(get(one.vm));
                // One bit for each change that is part of the message.
                const changes = whole.changes.filter((_, bit) => ((one.part >> bit) & 1) === 1);
                messages.push(one.isWhole ? whole : { ...whole, isWhole: false, changes });
                break;
              }
              case "deliver": {
                const message = messages[one.message];
                if (message !== undefined) {
                  merge(get(one.vm), message);
                }
                break;
              }
              case "forget":
                await clock.advance(LONG_MILLISECONDS, LONG_MILLISECONDS);
                get(one.vm).discardExpired();
                break;
            }
            vms.forEach((directory) => checkCoverage(directory, store));
          }
          read(get(0), store);
          vms.slice(1).forEach((directory) => send(get(0), directory));
          const expected = [...store.entries.values()].map(({ position }) => position.revision);
          for (const directory of vms) {
            const held = directory.listChanges().filter(({ entry }) => entry !== undefined);
            assert.deepEqual(
              held.map(({ position }) => position.revision).sort(),
              expected.sort(),
            );
          }
        }),
        testing.getRandomRuns(41, 400),
      );
    });
  });
});
