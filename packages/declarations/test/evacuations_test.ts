/**
 * Tests that copies of the orders to evacuate agree, whatever order their messages arrive in.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fc from "fast-check";

const NORTH = model.createDataCentreId("north");
const SOUTH = model.createDataCentreId("south");
const DATA_CENTRES = [NORTH, SOUTH, model.createDataCentreId("west")];

function createOrder(
  dataCentre: model.DataCentreId,
  revision: number,
  isEvacuated = true,
  era = 0,
): declarations.EvacuationChange {
  return { dataCentre, position: fixtures.createPosition(revision, era), isEvacuated };
}

function list(copy: declarations.Evacuations): string[] {
  return copy.listOrders().map(({ dataCentre }) => dataCentre).sort();
}

/** What another VM learns from a copy. */
function hear(copy: declarations.Evacuations, sent: declarations.EvacuationList): void {
  copy.mergeChanges(sent);
  copy.mergeWithdrawals(sent);
}

/** A store without restores, and copies that read it or exchange what they know. */
class Fleet {
  readonly copies = [0, 1, 2].map(() => new declarations.Evacuations());
  /** Messages that are under way, which may arrive late, twice or never. */
  readonly sent: declarations.EvacuationList[] = [];
  readonly #store = new Map<model.DataCentreId, declarations.EvacuationChange>();
  #revision = 1;

  write(dataCentre: model.DataCentreId, isEvacuated: boolean): void {
    this.#revision++;
    this.#store.set(dataCentre, createOrder(dataCentre, this.#revision, isEvacuated));
  }

  read(copy: declarations.Evacuations): void {
    const orders = [...this.#store.values()].filter(({ isEvacuated }) => isEvacuated);
    const asOf = fixtures.createPosition(this.#revision);
    const present = new Set(orders.map(({ dataCentre }) => dataCentre));
    [...orders, ...copy.listMissing(present, asOf)].forEach((change) => copy.apply(change, asOf));
    copy.confirm(asOf);
  }

  list(): string[] {
    return [...this.#store.values()].flatMap(({ dataCentre, isEvacuated }) =>
      isEvacuated ? [dataCentre] : []
    ).sort();
  }
}

const eventArbitrary = fc.oneof(
  fc.record({
    kind: fc.constant("write" as const),
    dataCentre: fc.constantFrom(...DATA_CENTRES),
    isEvacuated: fc.boolean(),
  }),
  fc.record({ kind: fc.constant("read" as const), vm: fc.nat(2) }),
  fc.record({ kind: fc.constant("send" as const), vm: fc.nat(2) }),
  fc.record({ kind: fc.constant("deliver" as const), vm: fc.nat(2), message: fc.nat(50) }),
);

test.describe("evacuations", () => {
  test.test("no late, repeated or old message undoes what a VM has read", () => {
    fc.assert(
      fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
        const fleet = new Fleet();
        for (const event of events) {
          switch (event.kind) {
            case "write":
              fleet.write(event.dataCentre, event.isEvacuated);
              break;
            case "read":
              fleet.read(fleet.copies[event.vm] ?? assert.fail());
              break;
            case "send":
              fleet.sent.push((fleet.copies[event.vm] ?? assert.fail()).createList());
              break;
            case "deliver":
              if (fleet.sent.length > 0) {
                const message = fleet.sent[event.message % fleet.sent.length] ?? assert.fail();
                hear(fleet.copies[event.vm] ?? assert.fail(), message);
              }
              break;
          }
        }
        const [reader, ...others] = fleet.copies;
        assert.ok(reader !== undefined);
        fleet.read(reader);
        assert.deepEqual(list(reader), fleet.list());
        // Everything that was ever said arrives once more, after what is current.
        for (const old of fleet.sent) {
          hear(reader, old);
        }
        assert.deepEqual(list(reader), fleet.list());
        for (const other of others) {
          if (other.isBehind(reader.mark)) {
            hear(other, reader.createList());
          }
          assert.deepEqual(list(other), fleet.list(), "the digests show what a VM lacks");
        }
      }),
      { seed: 11, numRuns: 2_000 },
    );
  });

  test.test("the later position wins, whichever arrives first", () => {
    for (const changes of [[3, 5, 4], [5, 4, 3], [4, 5, 3]]) {
      const copy = new declarations.Evacuations();
      changes.forEach((revision) => copy.apply(createOrder(NORTH, revision, revision !== 4)));
      assert.deepEqual(list(copy), [NORTH]);
      copy.apply(createOrder(NORTH, 6, false));
      copy.apply(createOrder(NORTH, 5));
      assert.deepEqual(list(copy), []);
    }
  });

  test.test("a VM that was cut off brings no withdrawn order back at a VM that started since", () => {
    const [cutOff, started] = [new declarations.Evacuations(), new declarations.Evacuations()];
    cutOff.apply(createOrder(NORTH, 3), fixtures.createPosition(5));
    cutOff.confirm(fixtures.createPosition(5));
    // The order was withdrawn at 10, and this VM never heard of it.
    started.confirm(fixtures.createPosition(20));
    assert.equal(started.isBehind(cutOff.mark), false);
    hear(started, cutOff.createList());
    assert.deepEqual(list(started), []);
    assert.equal(cutOff.isBehind(started.mark), true);
    hear(cutOff, started.createList());
    assert.deepEqual(list(cutOff), []);
  });

  test.test("a VM that was cut off does not drop an order that it missed", () => {
    const [cutOff, reader] = [new declarations.Evacuations(), new declarations.Evacuations()];
    cutOff.confirm(fixtures.createPosition(5));
    reader.apply(createOrder(NORTH, 9));
    reader.confirm(fixtures.createPosition(9));
    hear(reader, cutOff.createList());
    assert.deepEqual(list(reader), [NORTH]);
    assert.equal(cutOff.isBehind(reader.mark), true);
  });

  test.test("an earlier era does not undo an order, and a later one states what it lacks", () => {
    const copy = new declarations.Evacuations();
    copy.apply(createOrder(NORTH, 50, true, 1));
    copy.confirm(fixtures.createPosition(50, 1));
    copy.apply(createOrder(NORTH, 60, false, 0));
    assert.deepEqual(list(copy), [NORTH]);
    const restoredAt = fixtures.createPosition(4, 2);
    assert.deepEqual(copy.listMissing(new Set(), restoredAt), [], "not decided at once");
    assert.deepEqual(copy.listOutdated(restoredAt), [createOrder(NORTH, 4, false, 2)]);
  });

  test.test("load returns gradually after a withdrawal, and not after a mere tombstone", async () => {
    const clock = new testing.TestClock();
    try {
      const copy = new declarations.Evacuations();
      copy.apply(createOrder(SOUTH, 3, false));
      assert.equal(copy.getReturnMilliseconds(SOUTH), 0);
      copy.apply(createOrder(NORTH, 3));
      assert.equal(copy.getReturnMilliseconds(NORTH), 0);
      await clock.advance(60_000);
      copy.apply(createOrder(NORTH, 4, false));
      assert.equal(copy.getReturnMilliseconds(NORTH), declarations.RETURN_MILLISECONDS);
      await clock.advance(declarations.RETURN_MILLISECONDS);
      assert.equal(copy.getReturnMilliseconds(NORTH), 0);
    } finally {
      clock.restore();
    }
  });

  test.test("a tombstone is kept until the copy does without it", async () => {
    const clock = new testing.TestClock();
    try {
      const copy = new declarations.Evacuations();
      copy.apply(createOrder(NORTH, 4, false));
      await clock.advance(61_000);
      copy.discardExpired();
      copy.apply(createOrder(NORTH, 3));
      assert.deepEqual(list(copy), [], "the copy is not complete as of the withdrawal");
      copy.confirm(fixtures.createPosition(5));
      copy.discardExpired();
      assert.equal(copy.createList().changes.length, 0);
      copy.apply(createOrder(NORTH, 3));
      assert.deepEqual(list(copy), []);
    } finally {
      clock.restore();
    }
  });
});
