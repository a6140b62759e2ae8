/**
 * Tests of several VMs in one process: what one of them reads, all of them obey.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

/** Drains and withdrawn keys bind after this time. */
const BOUND_MILLISECONDS = 2_000;

async function withFleet(
  run: (reading: harness.TestVm, turnedAway: harness.TestVm) => Promise<void>,
): Promise<void> {
  const reading = new harness.TestVm();
  const closedStore = new harness.MemoryStore();
  closedStore.isAvailable = false;
  let turnedAway: harness.TestVm | undefined;
  try {
    await reading.start(2);
    turnedAway = new harness.TestVm({
      name: "vm-turned-away",
      store: closedStore,
      seeds: [reading.peerAddress],
    });
    await turnedAway.start(0);
    await run(reading, turnedAway);
  } finally {
    // A VM that has failed to start is stopped too, or its sockets would keep the process alive.
    await Promise.all([turnedAway?.stop(), reading.stop()]);
  }
}

function limitWorkspace(ratePerSecond: number, burst: number): declarations.Declarations {
  return harness.createDeclarations(3, {
    workspaces: [{
      id: model.createWorkspaceId("city"),
      keys: ["secret"],
      priority: undefined,
      ratePerSecond,
      burst,
    }],
  });
}

test.describe("fleet", { concurrency: 4 }, () => {
  test.test("a VM that the store turns away serves, and obeys drains and withdrawn keys", async () => {
    await withFleet(async (reading, turnedAway) => {
      assert.equal((await turnedAway.call()).status, 200);
      const [first] = reading.targets;
      assert.ok(first !== undefined);
      reading.store.put(first.createChange(60, { isDraining: true }));
      reading.store.declared = harness.createDeclarations(5, {
        workspaces: [{
          id: model.createWorkspaceId("city"),
          keys: ["new"],
          priority: undefined,
          ratePerSecond: undefined,
          burst: 0,
        }],
      });
      await kernel.sleep(BOUND_MILLISECONDS);
      const before = first.requests.length;
      assert.equal((await turnedAway.call()).status, 401);
      for (let round = 0; round < 4; round++) {
        const answer = await turnedAway.call({ headers: { Authorization: "Bearer new" } });
        assert.equal(answer.status, 200);
      }
      assert.equal(first.requests.length, before);
    });
  });

  test.test("a rate holds for both VMs together", async () => {
    await withFleet(async (reading, turnedAway) => {
      reading.store.declared = limitWorkspace(5, 10);
      reading.store.revision++;
      await kernel.sleep(BOUND_MILLISECONDS);
      let served = 0;
      const startedAt = performance.now();
      while (performance.now() - startedAt < 3_000) {
        const answers = await Promise.all([reading.call(), turnedAway.call()]);
        served += answers.filter((answer) => answer.status === 200).length;
        assert.ok(answers.every((answer) => [200, 429].includes(answer.status)));
        await kernel.sleep(20);
      }
      const bound = (5 * 5 + 10) * 1.25 + 20;
      assert.ok(served <= bound, `${served} served, at most ${bound} are allowed`);
      assert.ok(served >= 5 * 3, `${served} served`);
    });
  });

  test.test("a VM that joins does not count again what others took before its start", async () => {
    await withFleet(async (reading) => {
      reading.store.declared = limitWorkspace(20, 10);
      reading.store.revision++;
      await kernel.sleep(BOUND_MILLISECONDS);
      const callReading = async (calls: number) => {
        for (let call = 0; call < calls; call++) {
          assert.equal((await reading.call()).status, 200);
          await kernel.sleep(100);
        }
      };
      // Several times the burst, at half of the rate.
      await callReading(40);
      const joining = new harness.TestVm({
        name: "vm-joining",
        store: reading.store,
        seeds: [reading.peerAddress],
      });
      try {
        await joining.start(0);
        await callReading(10);
        for (let call = 0; call < 5; call++) {
          assert.equal((await joining.call()).status, 200);
          await callReading(1);
        }
      } finally {
        await joining.stop();
      }
    });
  });

  test.test("entries that lapse while the store is away stay in use until it is back", async () => {
    await withFleet(async (reading) => {
      const { store } = reading;
      const entries = [...store.targets.values()];
      store.isAvailable = false;
      await kernel.sleep(3_500);
      store.targets.clear();
      store.revision += 5;
      store.isAvailable = true;
      const endsAt = performance.now() + 1_000;
      while (performance.now() < endsAt) {
        assert.equal((await reading.call()).status, 200);
        await kernel.sleep(50);
      }
      entries.forEach((entry) =>
        store.put({ ...entry, revision: store.revision + 1 as typeof entry.revision })
      );
      await kernel.sleep(2_500);
      assert.equal((await reading.call()).status, 200);
    });
  });
});
