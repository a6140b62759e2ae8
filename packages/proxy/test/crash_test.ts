/**
 * Tests of requests under which targets end, sent again and again to all VMs.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";

/** Time after the third end from which the bound on further arrivals holds. */
const STABLE_MILLISECONDS = 3_000;

/** Arrivals that are allowed from then on. */
const ALLOWED_ARRIVALS = 3;

const TARGETS = 8;
const FATAL_BODY = "fatal";

/** Time for which a target runs such a request before it ends, and for which it is down. */
const RUN_MILLISECONDS = 40;
const DOWN_MILLISECONDS = 400;

const REPEAT_MILLISECONDS = 80;

/** Targets that end while they run a request with the fatal body, and start again. */
class CrashingTargets {
  /** Monotonic times at which such a request arrived at a target, in milliseconds. */
  readonly arrivals: number[] = [];
  readonly ends: number[] = [];
  readonly #store: harness.MemoryStore;
  readonly #restarts: Promise<void>[] = [];
  #incarnations = 0;

  constructor(store: harness.MemoryStore, targets: readonly harness.TestTarget[]) {
    this.#store = store;
    for (const target of targets) {
      target.behaviour = (request, response, body) => {
        if (body !== FATAL_BODY) {
          setTimeout(() => harness.answerSuccess(request, response), RUN_MILLISECONDS);
          return;
        }
        this.arrivals.push(performance.now());
        setTimeout(() => this.#end(target), RUN_MILLISECONDS);
      };
    }
  }

  /** Waits until all targets run again. */
  async settle(): Promise<void> {
    await Promise.all(this.#restarts);
  }

  #end(target: harness.TestTarget): void {
    if (!target.isListening) {
      return;
    }
    this.ends.push(performance.now());
    const { port } = target;
    target.crash();
    const restart = async () => {
      await kernel.sleep(DOWN_MILLISECONDS);
      await target.restart(port);
      const startedAt = 1_000 + ++this.#incarnations;
      this.#store.put(target.createChange(100 + this.#incarnations, { startedAt }));
    };
    this.#restarts.push(restart());
  }
}

interface Fleet {
  readonly vms: harness.TestVm[];
  readonly targets: readonly harness.TestTarget[];
  readonly crashing: CrashingTargets;
  readonly addVm: (name: string) => Promise<harness.TestVm>;
}

async function withFleet(run: (fleet: Fleet) => Promise<void>): Promise<void> {
  const vms: harness.TestVm[] = [];
  const store = new harness.MemoryStore();
  const addVm = async (name: string) => {
    const vm = new harness.TestVm({
      name,
      store,
      seeds: vms.map(({ peerAddress }) => peerAddress),
    });
    vms.push(vm);
    await vm.start(vms.length === 1 ? TARGETS : 0);
    return vm;
  };
  try {
    const first = await addVm("vm-first");
    await addVm("vm-second");
    // Both VMs know each other.
    await kernel.sleep(300);
    const crashing = new CrashingTargets(store, first.targets);
    await run({ vms, targets: first.targets, crashing, addVm });
    await crashing.settle();
  } finally {
    await Promise.all(vms.map((vm) => vm.stop()));
  }
}

function callFatally(vm: harness.TestVm): Promise<harness.CallerAnswer> {
  return vm.call({ path: "/reads/1", body: FATAL_BODY });
}

/** Repeats the fatal request at all VMs in turn until a time after the third end. */
async function repeatFatally(
  { vms, crashing }: Fleet,
  millisecondsAfterThirdEnd: number,
): Promise<harness.CallerAnswer[]> {
  const answers: Promise<harness.CallerAnswer>[] = [];
  const startedAt = performance.now();
  const isOver = () =>
    performance.now() - (crashing.ends[2] ?? startedAt + 5_000) > millisecondsAfterThirdEnd;
  for (let index = 0; !isOver(); index++) {
    answers.push(callFatally(vms[index % vms.length] ?? assert.fail()));
    await kernel.sleep(REPEAT_MILLISECONDS);
  }
  return await Promise.all(answers);
}

/** Arrivals at targets of the fatal request from a time after the third end. */
function countLateArrivals({ crashing }: Fleet): number {
  const third = crashing.ends[2] ?? assert.fail("fewer than three targets have ended");
  return crashing.arrivals.filter((at) => at > third + STABLE_MILLISECONDS).length;
}

test.describe("requests under which targets end", () => {
  test.test("a repeated request ends target after target", async () => {
    await withFleet(async (fleet) => {
      await repeatFatally(fleet, STABLE_MILLISECONDS);
      // A VM that has just joined the fleet is bound as well.
      await fleet.addVm("vm-joined");
      await repeatFatally(fleet, STABLE_MILLISECONDS + 2_000);
      const late = countLateArrivals(fleet);
      assert.ok(late <= ALLOWED_ARRIVALS, `${late} arrivals, ${fleet.crashing.ends.length} ends`);
      const others = await Promise.all(fleet.vms.map((vm) => vm.call()));
      assert.deepEqual(others.map(({ status }) => status), fleet.vms.map(() => 200));
    });
  });

  test.test("a refused repetition ran, or is not told when to come back", async () => {
    await withFleet(async (fleet) => {
      await repeatFatally(fleet, STABLE_MILLISECONDS);
      const arrivals = fleet.crashing.arrivals.length;
      const answers = await Promise.all(fleet.vms.map((vm) => callFatally(vm)));
      for (const { status, headers, body } of answers) {
        assert.deepEqual([status, body.includes("quarantined")], [503, true]);
        assert.ok(Number(headers["retry-after"]) > 0);
      }
      assert.equal(fleet.crashing.arrivals.length, arrivals);
      const other = await fleet.vms[0]?.call({ path: "/reads/1", body: "harmless" });
      assert.equal(other?.status, 200);
    });
  });

  test.test("a request is quarantined whose targets close connections but do not end", async () => {
    await withFleet(async ({ vms, targets }) => {
      targets.forEach((target) => target.behaviour = (request) => request.socket.destroy());
      const statuses: number[] = [];
      for (let index = 0; index < 12; index++) {
        const vm = vms[index % vms.length] ?? assert.fail();
        statuses.push((await vm.call({ body: "harmless" })).status);
        await kernel.sleep(60);
      }
      assert.deepEqual(new Set(statuses), new Set([502]));
    });
  });
});
