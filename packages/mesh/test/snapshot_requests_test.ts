/**
 * Tests of the choice of the VM that is asked for a snapshot, on a paused clock.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";

const STATE = "versions";

/** Longer than a VM waits for a link in its data centre, shorter than it waits for a snapshot. */
const WAIT_MILLISECONDS = 100;

interface TestLink {
  readonly link: mesh.Link;
  requests: number;
}

/** A link to a VM that holds version 7, without a socket. */
function createLink(dataCentre: string): TestLink {
  const created: TestLink = {
    link: {
      digests: new Map([[STATE, 7]]),
      peer: { dataCentre: model.createDataCentreId(dataCentre) },
      send: () => created.requests++,
    } as unknown as mesh.Link,
    requests: 0,
  };
  return created;
}

async function withRequests(
  run: (
    requests: mesh.SnapshotRequests,
    open: Set<mesh.Link>,
    clock: testing.TestClock,
  ) => Promise<void>,
): Promise<void> {
  const clock = new testing.TestClock();
  const open = new Set<mesh.Link>();
  const states = new Map<string, mesh.ReplicatedState>([[STATE, {
    digest: { get: () => 0, isBehind: (other: number) => other > 0 },
    createSnapshot: () => 0,
    receive: () => true,
  }]]);
  const requests = new mesh.SnapshotRequests(states, open, model.createDataCentreId("south"));
  try {
    await run(requests, open, clock);
  } finally {
    requests.stop();
    clock.restore();
  }
}

test.describe("snapshot requests", () => {
  test.test("only a VM of the same data centre is asked if one is linked in time", async () => {
    await withRequests(async (requests, open, clock) => {
      const [remote, local, otherLocal] = [
        createLink("north"),
        createLink("south"),
        createLink("south"),
      ];
      open.add(remote.link);
      requests.advance();
      await clock.advance(30);
      open.add(local.link).add(otherLocal.link);
      requests.advance();
      await clock.advance(WAIT_MILLISECONDS);
      requests.advance();
      assert.deepEqual([remote.requests, local.requests, otherLocal.requests], [0, 1, 0]);
    });
  });

  test.test("a VM of another data centre is asked if none of the same is linked", async () => {
    await withRequests(async (requests, open, clock) => {
      const remote = createLink("north");
      open.add(remote.link);
      requests.advance();
      assert.equal(remote.requests, 0);
      await clock.advance(WAIT_MILLISECONDS);
      assert.equal(remote.requests, 1);
    });
  });

  test.test("another VM is asked when the link to the first one has closed", async () => {
    await withRequests((requests, open) => {
      const [first, second] = [createLink("south"), createLink("south")];
      open.add(first.link).add(second.link);
      requests.advance();
      open.delete(first.link);
      requests.drop(first.link);
      assert.deepEqual([first.requests, second.requests], [1, 1]);
      return Promise.resolve();
    });
  });
});
