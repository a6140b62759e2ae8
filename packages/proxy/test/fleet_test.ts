/**
 * Tests of several VMs in one process: all VMs apply what one of them reads from the store.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

/** Drains and withdrawn keys are in force after this time. */
const BOUND_MILLISECONDS = 2_000;

async function withFleet(
  run: (reading: harness.TestVm, withoutStore: harness.TestVm) => Promise<void>,
): Promise<void> {
  const reading = new harness.TestVm();
  const unavailableStore = new harness.MemoryStore();
  unavailableStore.isAvailable = false;
  let withoutStore: harness.TestVm | undefined;
  try {
    await reading.start(2);
    withoutStore = new harness.TestVm({
      name: "vm-without-store",
      store: unavailableStore,
      seeds: [reading.peerAddress],
    });
    await withoutStore.start(0);
    await run(reading, withoutStore);
  } finally {
    // A VM that failed to start is stopped too, since its sockets would keep the process alive.
    await Promise.all([withoutStore?.stop(), reading.stop()]);
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
  test.test("a VM without access to the store serves, and applies drains and withdrawn keys", async () => {
    await withFleet(async (reading, withoutStore) => {
      assert.equal((await withoutStore.call()).status, 200);
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
      assert.equal((await withoutStore.call()).status, 401);
      for (let round = 0; round < 4; round++) {
        const answer = await withoutStore.call({ headers: { Authorization: "Bearer new" } });
        assert.equal(answer.status, 200);
      }
      assert.equal(first.requests.length, before);
    });
  });

  test.test("a rate limit applies to both VMs together", async () => {
    await withFleet(async (reading, withoutStore) => {
      reading.store.declared = limitWorkspace(5, 10);
      reading.store.revision++;
      await kernel.sleep(BOUND_MILLISECONDS);
      let served = 0;
      const startedAt = performance.now();
      while (performance.now() - startedAt < 3_000) {
        const answers = await Promise.all([reading.call(), withoutStore.call()]);
        served += answers.filter((answer) => answer.status === 200).length;
        assert.ok(answers.every((answer) => [200, 429].includes(answer.status)));
        await kernel.sleep(20);
      }
      const bound = (5 * 5 + 10) * 1.25 + 20;
      assert.ok(served <= bound, `${served} served, at most ${bound} are allowed`);
      assert.ok(served >= 5 * 3, `${served} served`);
    });
  });

  test.test("a VM that joins does not count again the tokens taken before its start", async () => {
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
      // Several times the burst, at half the rate.
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

  test.test("entries that expire while the store is unavailable stay in use until it has recovered", async () => {
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
