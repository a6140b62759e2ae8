/**
 * Guards against retries of all VMs together beyond the fleet's budget while VMs do not reach each
 * other: the budgets of 292 VMs as they are, over a network of the test's own.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";

const VMS = 292;
const DATA_CENTRES = 6;
const SERVICE = model.createServiceId("desk");

const BOUNDS: proxy.ProxyBounds = {
  retryRatio: 0.2,
  retrySlack: 430,
  rateWindowSeconds: 5,
  rateExcess: 0.25,
  rateSlack: 20,
  graceMilliseconds: 10_000,
};
const WINDOW_MILLISECONDS = 10_000;

const STEP_MILLISECONDS = 50;

/** Requests of all VMs together, in a second. */
const REQUESTS_PER_SECOND = 400;

/** Interval of the reports in a fleet of this size, and their way to the others. */
const REPORT_MILLISECONDS = 450;
const DELAY_MILLISECONDS = 150;
const PROPAGATION_MILLISECONDS = 638;

/** Time after which a VM notices that it hears another one no more. */
const LOSS_MILLISECONDS = 2_600;

const WANTED_FROM_MILLISECONDS = 7_000;
const CUT_FROM_MILLISECONDS = 8_000;
const CUT_TO_MILLISECONDS = 16_000;
const END_MILLISECONDS = 20_000;

/** The VMs and the time, as their meshes see them. */
class World {
  at = 0;
  readonly meshes: TestMesh[] = [];
  readonly #isAlone: (vm: number) => boolean;

  constructor(isAlone: (vm: number) => boolean) {
    this.#isAlone = isAlone;
  }

  areInContact(left: TestMesh, right: TestMesh, ago = 0): boolean {
    const at = this.at - ago;
    const isCut = at >= CUT_FROM_MILLISECONDS && at < CUT_TO_MILLISECONDS;
    return !isCut || (!this.#isAlone(left.index) && !this.#isAlone(right.index));
  }

  /** Whether a VM takes another one for in contact, which it does for some time after a loss. */
  seemInContact(left: TestMesh, right: TestMesh): boolean {
    return this.areInContact(left, right) || this.areInContact(left, right, LOSS_MILLISECONDS);
  }
}

/** The mesh of one VM. */
class TestMesh {
  readonly index: number;
  readonly self: mesh.MemberIdentity;
  readonly propagationMilliseconds = PROPAGATION_MILLISECONDS;
  readonly sections = new Map<string, mesh.ReportSection>();
  readonly #world: World;
  readonly #exchanges = new Map<string, mesh.RelayExchange>();
  #sequence = 0;
  confirmedSequence = 0;
  isReportUrgent = false;

  constructor(index: number, world: World) {
    this.index = index;
    this.#world = world;
    this.self = {
      vm: model.createVmId(`vm-${index}`),
      incarnation: model.createIncarnation(),
      dataCentre: model.createDataCentreId(`centre-${index % DATA_CENTRES}`),
      address: `vm-${index}:1`,
      tag: index + 1,
      capacity: 1,
    };
  }

  get size(): number {
    return VMS;
  }

  addSection(name: string, section: mesh.ReportSection): void {
    this.sections.set(name, section);
  }

  addReplicatedState(): void {}

  addRelayExchange(name: string, exchange: mesh.RelayExchange): void {
    this.#exchanges.set(name, exchange);
  }

  /** The first VM of the data centre. */
  get upstreamRelay(): mesh.MemberIdentity | undefined {
    const relay = this.#world.meshes[this.index % DATA_CENTRES];
    return relay === undefined || relay === this || !this.#world.seemInContact(this, relay)
      ? undefined
      : relay.self;
  }

  sendToRelay(name: string, payload: unknown): void {
    const relay = this.#world.meshes[this.index % DATA_CENTRES];
    if (relay === undefined || !this.#world.areInContact(this, relay)) {
      return;
    }
    const response = relay.#exchanges.get(name)?.receiveRequest(this.self, payload);
    this.#exchanges.get(name)?.receiveResponse(relay.self, response);
  }

  countInContact(): number {
    return 1 + this.listInContact().length;
  }

  listInContact(): mesh.MemberIdentity[] {
    return this.#world.meshes.filter((other) =>
      other !== this && this.#world.seemInContact(this, other)
    ).map(({ self }) => self);
  }

  listOthers(): mesh.MemberIdentity[] {
    return this.#world.meshes.filter((other) => other !== this).map(({ self }) => self);
  }

  hasLeft(): boolean {
    return false;
  }

  reportSoon(): void {
    this.isReportUrgent = true;
  }

  /** Collects a report; returns what delivers it. */
  report(): () => void {
    this.isReportUrgent = false;
    const sequence = ++this.#sequence;
    const payloads = [...this.sections].map(([name, section]) =>
      [name, section.collect(sequence)] as const
    ).filter(([, payload]) => payload !== undefined);
    return () => {
      const heard = this.#world.meshes.filter((other) =>
        other !== this && this.#world.areInContact(this, other)
      );
      if (heard.length > 0) {
        this.confirmedSequence = sequence;
      }
      for (const [name, payload] of payloads) {
        heard.forEach((other) => other.sections.get(name)?.receive(this.self, payload));
      }
    };
  }
}

/** Plays the fleet; returns by how much it exceeds the budget in the worst window. */
async function findExcess(
  clock: kernelTesting.TestClock,
  isAlone: (vm: number) => boolean,
): Promise<number> {
  const world = new World(isAlone);
  const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
  const store = new declarations.DeclarationStore();
  const budgets = Array.from({ length: VMS }, (_, index) => {
    const vmMesh = new TestMesh(index, world);
    world.meshes.push(vmMesh);
    return new proxy.Budgets(vmMesh as unknown as mesh.Mesh, store, BOUNDS, true, logger);
  });
  budgets.forEach((vm) => vm.start());
  const requestedAt: number[] = [];
  const retriedAt: number[] = [];
  const deliveries = new Map<number, (() => void)[]>();
  let request = 0;
  for (; world.at < END_MILLISECONDS; world.at += STEP_MILLISECONDS) {
    await clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
    deliveries.get(world.at)?.forEach((deliver) => deliver());
    deliveries.delete(world.at);
    for (let count = 0; count < REQUESTS_PER_SECOND * STEP_MILLISECONDS / 1_000; count++) {
      // Coprime to the number of VMs, so that each of them has its turn.
      const vm = budgets[request++ * 101 % VMS] ?? assert.fail();
      vm.countRequest(SERVICE);
      requestedAt.push(world.at);
      if (world.at >= WANTED_FROM_MILLISECONDS && vm.takeRetry(SERVICE)) {
        retriedAt.push(world.at);
      }
    }
    for (const vmMesh of world.meshes) {
      const isDue = (world.at + vmMesh.index * STEP_MILLISECONDS) % REPORT_MILLISECONDS === 0;
      if (isDue || vmMesh.isReportUrgent) {
        const due = deliveries.get(world.at + DELAY_MILLISECONDS) ?? [];
        due.push(vmMesh.report());
        deliveries.set(world.at + DELAY_MILLISECONDS, due);
      }
    }
  }
  budgets.forEach((vm) => vm.stop());
  const count = (times: readonly number[], from: number) =>
    times.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length;
  const excesses = Array.from({ length: END_MILLISECONDS / 250 }, (_, index) => {
    const allowed = count(requestedAt, index * 250) * BOUNDS.retryRatio + BOUNDS.retrySlack;
    return count(retriedAt, index * 250) - allowed;
  });
  return Math.max(...excesses);
}

test.describe("292 VMs retry beyond their budget", { concurrency: 1 }, () => {
  for (
    const [what, isAlone] of Object.entries({
      "while all reach each other": () => false,
      "while three in ten are each alone": (vm: number) => vm % 10 < 3,
      "while each of them is alone": () => true,
    })
  ) {
    test.test(what, async () => {
      const clock = new kernelTesting.TestClock();
      try {
        const excess = await findExcess(clock, isAlone);
        assert.ok(excess <= 0, `${excess.toFixed(0)} retries beyond the budget`);
      } finally {
        clock.restore();
      }
    });
  }
});
