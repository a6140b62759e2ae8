/**
 * The demonstration: publishes a release note, sends requests including refused ones, withdraws a
 * key, kills a target, and prints a summary. Exits with 0 only if all expectations are met.
 */

import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as demoFleet from "./demo_fleet.ts";

const INSPECTOR_KEY = "demonstration-key-of-the-inspectors";
const PERMIT_DESK_KEY = "demonstration-key-of-the-permit-desk";

/** Time after publication by which a withdrawn key must be refused. */
const WITHDRAWAL_BOUND_MILLISECONDS = 4_000;

const REQUESTS_PER_VM = 10;

/** Longest wait until the rate limits of new VMs are in force. */
const LIMITS_WAIT_MILLISECONDS = 20_000;

interface Expectation {
  readonly description: string;
  readonly isMet: boolean;
}

interface Answer {
  readonly status: number;
  readonly run: string | null;
  readonly reason: string | undefined;
}

/** Runs the steps of the demonstration and records which expectations are met. */
class Demonstration {
  readonly fleet = new demoFleet.DemoFleet();
  readonly #expectations: Expectation[] = [];

  async run(): Promise<boolean> {
    print("Starting a platform stand-in, 3 target stand-ins and 3 VMs ...");
    await this.fleet.start();
    try {
      await this.#publishFirstNote();
      await this.#sendRequests();
      await this.#showRefusals();
      await this.#withdrawKey();
      await this.#killTarget();
    } finally {
      const codes = await this.fleet.stop();
      this.#expect("Every VM stopped gracefully.", codes.every((code) => code === 0));
    }
    return this.#summarize();
  }

  async #publishFirstNote(): Promise<void> {
    const number = this.fleet.publish({
      title: "First note of the demonstration.",
      fleet: { vmLimit: 4 },
      added: {
        workspaces: [
          { id: "inspectors", rate: 200, burst: 400, weight: 3 },
          { id: "permit-desk", rate: 100, burst: 200 },
        ],
        keys: [
          { digest: model.createKeyDigest(INSPECTOR_KEY), workspace: "inspectors" },
          { digest: model.createKeyDigest(PERMIT_DESK_KEY), workspace: "permit-desk" },
        ],
        services: [{ id: "inspection", slots: 6, connections: 330, floor: 0.6 }],
        targets: this.fleet.targets.map((target) => ({
          id: target.id,
          service: "inspection",
          address: target.address,
          dataCentre: "north-1",
        })),
        routes: [{ id: "fines", pathPrefix: "/fines", service: "inspection" }],
      },
    });
    await this.fleet.waitForNote(number);
    this.#expect("The first note is in force on all 3 VMs.", true);
  }

  async #sendRequests(): Promise<void> {
    await this.#waitForLimits();
    let served = 0;
    for (const vm of this.fleet.vms) {
      for (let request = 0; request < REQUESTS_PER_VM; request++) {
        const answer = await send(vm, INSPECTOR_KEY, "POST");
        served += answer.status === 200 ? 1 : 0;
      }
    }
    const total = this.fleet.vms.length * REQUESTS_PER_VM;
    this.#expect(`${served} of ${total} requests were served through 3 VMs.`, served === total);
  }

  /** Waits until all VMs serve requests. A VM that has just started refuses them without tokens. */
  async #waitForLimits(): Promise<void> {
    const deadline = performance.now() + LIMITS_WAIT_MILLISECONDS;
    for (const vm of this.fleet.vms) {
      let consecutiveSuccesses = 0;
      while (consecutiveSuccesses < REQUESTS_PER_VM && performance.now() < deadline) {
        const answer = await send(vm, INSPECTOR_KEY, "GET");
        consecutiveSuccesses = answer.status === 200 ? consecutiveSuccesses + 1 : 0;
        await kernel.sleep(20);
      }
    }
  }

  async #showRefusals(): Promise<void> {
    const [vm] = this.fleet.vms;
    if (vm === undefined) {
      return;
    }
    const unknownKey = await send(vm, "no-such-key", "POST");
    this.#expect(
      `An unknown key is refused: ${describe(unknownKey)}.`,
      unknownKey.status === 401 && unknownKey.run === "no",
    );
    const unrouted = await send(vm, INSPECTOR_KEY, "GET", "/nowhere");
    this.#expect(
      `A path without a route is refused: ${describe(unrouted)}.`,
      unrouted.status === 404 && unrouted.run === "no",
    );
  }

  async #withdrawKey(): Promise<void> {
    this.fleet.publish({
      title: "The key of the permit desk is withdrawn.",
      withdrawn: { keys: [model.createKeyDigest(PERMIT_DESK_KEY)] },
    });
    const published = performance.now();
    let stopped = 0;
    for (const vm of this.fleet.vms) {
      let answer = await send(vm, PERMIT_DESK_KEY, "GET");
      while (
        answer.status !== 401 && performance.now() - published < WITHDRAWAL_BOUND_MILLISECONDS
      ) {
        await kernel.sleep(10);
        answer = await send(vm, PERMIT_DESK_KEY, "GET");
      }
      stopped += answer.status === 401 ? 1 : 0;
    }
    const elapsed = Math.round(performance.now() - published);
    this.#expect(
      `A withdrawn key stopped working on ${stopped} of 3 VMs within ${elapsed} ms.`,
      stopped === this.fleet.vms.length,
    );
  }

  async #killTarget(): Promise<void> {
    const killedTarget = this.fleet.targets[0];
    await killedTarget?.process.kill();
    let served = 0;
    let refusedWithoutRun = 0;
    const failures: string[] = [];
    for (const vm of this.fleet.vms) {
      for (let request = 0; request < REQUESTS_PER_VM; request++) {
        const answer = await send(vm, INSPECTOR_KEY, "GET");
        served += answer.status === 200 ? 1 : 0;
        if (answer.status !== 200) {
          refusedWithoutRun += answer.run === "no" ? 1 : 0;
          failures.push(`${vm.id}, read ${request + 1}: ${describe(answer)}`);
        }
        await kernel.sleep(5);
      }
    }
    const total = this.fleet.vms.length * REQUESTS_PER_VM;
    this.#expect(
      `After one of 3 targets was killed, ${served} of ${total} reads were served and ` +
        `${refusedWithoutRun} refused as not run.`,
      served === total,
    );
    failures.forEach((failure) => print(`      ${failure}`));
    if (failures.length > 0) {
      await this.#printNotRetried();
    }
  }

  /** Prints why the VMs did not retry failed requests. */
  async #printNotRetried(): Promise<void> {
    for (const vm of this.fleet.vms) {
      const response = await fetch(`${vm.adminAddress}/metrics`);
      const lines = (await response.text()).split("\n").filter((line) =>
        line.startsWith("hemlockwalk_not_retried_total")
      );
      lines.forEach((line) => print(`      ${vm.id}: ${line}`));
    }
  }

  #expect(description: string, isMet: boolean): void {
    this.#expectations.push({ description, isMet });
    print(`${isMet ? "ok  " : "FAIL"}  ${description}`);
  }

  #summarize(): boolean {
    const failed = this.#expectations.filter((expectation) => !expectation.isMet).length;
    const metCount = this.#expectations.length - failed;
    print(`\nSummary: ${metCount} of ${this.#expectations.length} expectations met.`);
    return failed === 0;
  }
}

async function send(
  vm: demoFleet.DemoVm,
  key: string,
  method: string,
  path = "/fines/antwerp",
): Promise<Answer> {
  const response = await fetch(vm.address + path, {
    method,
    headers: { authorization: `Bearer ${key}` },
    body: method === "POST" ? "a fine" : null,
  });
  const text = await response.text();
  const isProblem = response.headers.get("content-type") === "application/problem+json";
  const reason = isProblem ? (JSON.parse(text) as { reason: string }).reason : undefined;
  return { status: response.status, run: response.headers.get("hemlockwalk-run"), reason };
}

function describe(answer: Answer): string {
  return `status ${answer.status}, reason ${answer.reason ?? "none"}, run ${answer.run ?? "?"}`;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

process.exitCode = await new Demonstration().run() ? 0 : 1;
