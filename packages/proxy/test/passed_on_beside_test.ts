/**
 * Guards against requests that reach more targets than their route allows because they are passed on
 * to other VMs while a target still runs them. A title names the failure that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";
import * as partitions from "./partition.ts";

const ATTEMPTS = 3;
const TARGETS = 6;
const WARM_UP_REQUESTS = 30;

/** Far longer than the route's requests usually take. */
const WORK_MILLISECONDS = 1_500;

/** Last number of the first VM's address; ports are claimed on those below. */
const FIRST_HOST = 3;

const DECLARED = harness.createDeclarations(1, {
  routes: [
    harness.createRoute({ isIdempotent: true, attempts: ATTEMPTS, timeoutMilliseconds: 5_000 }),
  ],
});

async function withFleet(run: (cut: harness.TestVm) => Promise<void>): Promise<void> {
  const vms: harness.TestVm[] = [];
  try {
    const store = new harness.MemoryStore();
    for (const [index, name] of ["vm-cut", "vm-second", "vm-third"].entries()) {
      const seeds = vms.map(({ peerAddress }) => peerAddress);
      const vm = new harness.TestVm({ name, store, seeds, host: `127.0.0.${FIRST_HOST + index}` });
      vms.push(vm);
      await vm.start(index === 0 ? TARGETS : 0, DECLARED);
    }
    const [cut] = vms;
    assert.ok(cut !== undefined);
    // All VMs know each other.
    await kernel.sleep(500);
    await run(cut);
  } finally {
    await Promise.all(vms.map((vm) => vm.stop()));
  }
}

test.test("a request that a target still runs reaches more targets than its route allows, since a VM that it was passed on to has failed", async () => {
  await withFleet(async (cut) => {
    for (let request = 0; request < WARM_UP_REQUESTS; request++) {
      assert.equal((await cut.call()).status, 200);
    }
    const arrivals: model.TargetId[] = [];
    for (const target of cut.targets) {
      target.behaviour = (request, response) => {
        arrivals.push(target.id);
        if (arrivals.length === 1) {
          setTimeout(() => harness.answerSuccess(request, response), WORK_MILLISECONDS);
        } else {
          request.socket.destroy();
        }
      };
    }
    const answer = cut.call({ headers: { [harness.PROFILE.requestId]: "slow" } });
    await harness.waitFor(() => arrivals.length === 1, "the first target has it");
    const endPartition = partitions.startPartition(
      [cut.host],
      cut.targets,
      "refuses new connections",
    );
    try {
      cut.targets.filter(({ id }) => id !== arrivals[0]).forEach((target) =>
        target.resetConnections(cut.host)
      );
      assert.equal((await answer).status, 200);
    } finally {
      endPartition();
    }
    const trace = JSON.stringify(cut.getTrace("slow").steps);
    assert.ok(trace.includes("passed_on"), trace);
    assert.ok(arrivals.length <= ATTEMPTS, `${arrivals.length} arrivals: ${trace}`);
  });
});
