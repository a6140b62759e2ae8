/**
 * Tests of whom a VM asks for what it lacks, on a paused clock.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";

const FEED = "versions";

/** More than a VM waits for one of its own data centre, less than it waits for an answer. */
const PATIENCE_MILLISECONDS = 100;

interface TestLink {
  readonly link: mesh.Link;
  requests: number;
}

/** A link to a VM that holds version 7, without a socket. */
function createLink(dataCentre: string): TestLink {
  const created: TestLink = {
    link: {
      marks: new Map([[FEED, 7]]),
      peer: { dataCentre: model.createDataCentreId(dataCentre) },
      send: () => created.requests++,
    } as unknown as mesh.Link,
    requests: 0,
  };
  return created;
}

async function withRequests(
  run: (
    requests: mesh.FeedRequests,
    open: Set<mesh.Link>,
    clock: testing.TestClock,
  ) => Promise<void>,
): Promise<void> {
  const clock = new testing.TestClock();
  const open = new Set<mesh.Link>();
  const feeds = new Map<string, mesh.Feed>([[FEED, {
    marks: { get: () => 0, isBehind: (other) => other > 0 },
    createSnapshot: () => 0,
    receive: () => true,
  }]]);
  const requests = new mesh.FeedRequests(feeds, open, model.createDataCentreId("south"));
  try {
    await run(requests, open, clock);
  } finally {
    requests.stop();
    clock.restore();
  }
}

test.describe("requests for large state", () => {
  test.test("a VM of the own data centre is asked, and no other, when one is met in time", async () => {
    await withRequests(async (requests, open, clock) => {
      const [far, near, alsoNear] = [createLink("north"), createLink("south"), createLink("south")];
      open.add(far.link);
      requests.advance();
      await clock.advance(30);
      open.add(near.link).add(alsoNear.link);
      requests.advance();
      await clock.advance(PATIENCE_MILLISECONDS);
      requests.advance();
      assert.deepEqual([far.requests, near.requests, alsoNear.requests], [0, 1, 0]);
    });
  });

  test.test("a VM of another data centre is asked when none of the own is met", async () => {
    await withRequests(async (requests, open, clock) => {
      const far = createLink("north");
      open.add(far.link);
      requests.advance();
      assert.equal(far.requests, 0);
      await clock.advance(PATIENCE_MILLISECONDS);
      assert.equal(far.requests, 1);
    });
  });

  test.test("another VM is asked in place of one whose link has closed", async () => {
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
