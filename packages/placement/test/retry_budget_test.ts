/**
 * Tests of the budget of retries against the bound on the retries of all VMs together. A small
 * network between the VMs delays messages, cuts VMs off, and kills and starts them again.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";
import * as randoms from "./random.ts";

const STEP_MILLISECONDS = 10;

/** Steps between two calls of `advance`. */
const ADVANCE_STEPS = 10;

const SERVICE = "desk";
const RATIO = 0.2;

/** Window in which the retries of a service are bounded. */
const WINDOW_MILLISECONDS = 10_000;

/** Part of the slack that may be saved up. */
const SHARE_OF_SLACK = 0.8;

/** Time after which a VM notices that it hears another one no more. */
const CONTACT_MILLISECONDS = 800;

/** Requests a second of a VM, and slack for each VM, as on the deployment of 292 VMs. */
const REQUESTS_PER_VM = 1.4;
const SLACK_PER_VM = 1.47;

/** Some VMs that reach no VM of another group between two times, in milliseconds. */
interface Cut {
  readonly from: number;
  readonly to: number;
  /** Returns the group of a VM. */
  readonly getGroup: (vm: number) => number;
}

/** VMs that are killed at a time and start again. */
interface Kill {
  readonly at: number;
  readonly downMilliseconds: number;
  readonly isKilled: (vm: number) => boolean;
}

interface World {
  readonly vms: number;
  readonly dataCentres: number;
  readonly slack?: number;
  readonly requestsPerVm?: number;
  readonly seconds: number;
  /** Share of the requests that want a retry at a time in milliseconds. */
  readonly getWantedShare: (at: number) => number;
  readonly cuts?: readonly Cut[];
  readonly kills?: readonly Kill[];
  /** Share of the messages that are late, by up to six seconds. */
  readonly lateShare?: number;
  readonly seed: number;
}

interface SimulatedVm {
  readonly index: number;
  readonly dataCentre: number;
  /** Undefined while it is down. */
  process: VmProcess | undefined;
}

interface VmProcess {
  readonly tag: number;
  readonly allowance: placement.RetryAllowance;
}

interface SimulationResult {
  readonly requestedAt: readonly number[];
  readonly retriedAt: readonly number[];
  readonly wanted: number;
}

/** A fleet on a test clock. */
class Simulation {
  readonly #world: World;
  readonly #clock: testing.TestClock;
  readonly #random: () => number;
  readonly #fleet: readonly SimulatedVm[];
  /** Deliveries by the step in which they are due. */
  readonly #deliveries = new Map<number, (() => void)[]>();
  #at = 0;
  #nextTag = 1;
  readonly #requestedAt: number[] = [];
  readonly #retriedAt: number[] = [];
  #wanted = 0;

  constructor(world: World, clock: testing.TestClock) {
    this.#world = world;
    this.#clock = clock;
    this.#random = randoms.createRandom(world.seed);
    this.#fleet = Array.from({ length: world.vms }, (_, index): SimulatedVm => ({
      index,
      dataCentre: index % world.dataCentres,
      process: undefined,
    }));
    this.#fleet.forEach((vm) => this.#start(vm, true));
  }

  async run(): Promise<SimulationResult> {
    const steps = this.#world.seconds * 1_000 / STEP_MILLISECONDS;
    for (let step = 0; step < steps; step++) {
      await this.#clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
      this.#at = step * STEP_MILLISECONDS;
      this.#killAndStart();
      this.#deliveries.get(step)?.forEach((deliver) => deliver());
      this.#deliveries.delete(step);
      this.#request();
      for (const { index, process } of this.#fleet) {
        if (step % ADVANCE_STEPS === index % ADVANCE_STEPS) {
          process?.allowance.advance();
        }
      }
    }
    return { requestedAt: this.#requestedAt, retriedAt: this.#retriedAt, wanted: this.#wanted };
  }

  #request(): void {
    const { vms, requestsPerVm = REQUESTS_PER_VM } = this.#world;
    const expected = vms * requestsPerVm * STEP_MILLISECONDS / 1_000;
    const count = Math.floor(expected) + (this.#random() < expected % 1 ? 1 : 0);
    for (let request = 0; request < count; request++) {
      const vm = this.#fleet[Math.floor(this.#random() * this.#world.vms)];
      const process = vm?.process;
      if (process === undefined) {
        continue;
      }
      this.#requestedAt.push(this.#at);
      process.allowance.earn(SERVICE, RATIO);
      if (this.#random() < this.#world.getWantedShare(this.#at)) {
        this.#wanted++;
        const isTaken = process.allowance.takeOrWait(SERVICE);
        if (isTaken === true) {
          this.#retriedAt.push(this.#at);
        } else if (isTaken !== false) {
          void isTaken.then((isTakenLate) => {
            if (isTakenLate) {
              this.#retriedAt.push(this.#at);
            }
          });
        }
      }
    }
  }

  #killAndStart(): void {
    for (const { at, downMilliseconds, isKilled } of this.#world.kills ?? []) {
      if (this.#at === at) {
        this.#fleet.filter(({ index }) => isKilled(index)).forEach((vm) => vm.process = undefined);
      } else if (this.#at === at + downMilliseconds) {
        this.#fleet.filter(({ index }) => isKilled(index)).forEach((vm) => this.#start(vm, false));
      }
    }
  }

  #start(vm: SimulatedVm, isFirstStart: boolean): void {
    if (vm.process !== undefined) {
      return;
    }
    const tag = this.#nextTag++;
    const startedAt = this.#at;
    const allowance = new placement.RetryAllowance({
      // A VM that starts again may know none of the others, so it trusts in no size of the fleet.
      getCapacity: () => {
        const part = SHARE_OF_SLACK * this.#slack / this.#world.vms;
        return isFirstStart ? part : Math.min(part, 1);
      },
      isFirstStart,
      getHolder: () => this.#findRelay(vm, startedAt)?.process?.tag,
      hasLeft: () => false,
      send: (request) => this.#sendRequest(vm, tag, request),
    });
    vm.process = { tag, allowance };
  }

  get #slack(): number {
    return this.#world.slack ?? this.#world.vms * SLACK_PER_VM;
  }

  /** The first VM of the data centre from which a VM has heard lately; undefined for itself. */
  #findRelay(vm: SimulatedVm, startedAt: number): SimulatedVm | undefined {
    const { dataCentres } = this.#world;
    for (let index = vm.dataCentre; index < vm.index; index += dataCentres) {
      const other = this.#fleet[index];
      const wasReached = [0, CONTACT_MILLISECONDS].some((ago) =>
        this.#at - ago >= startedAt && this.#isReached(vm.index, index, this.#at - ago)
      );
      if (other?.process !== undefined && wasReached) {
        return other;
      }
    }
    return undefined;
  }

  #isReached(left: number, right: number, at: number): boolean {
    return (this.#world.cuts ?? []).every(({ from, to, getGroup }) =>
      at < from || at >= to || getGroup(left) === getGroup(right)
    );
  }

  #sendRequest(vm: SimulatedVm, tag: number, request: placement.TokenRequest): void {
    const relay = this.#findRelay(vm, 0);
    const holder = relay?.process;
    if (relay === undefined || holder === undefined) {
      return;
    }
    this.#deliver(vm.index, relay.index, () => {
      if (relay.process !== holder) {
        return;
      }
      const response = holder.allowance.pool.receive(tag, request);
      this.#deliver(relay.index, vm.index, () => {
        if (vm.process?.tag === tag) {
          vm.process.allowance.receive(holder.tag, response);
        }
      });
    });
  }

  /** Delivers a message a little later, or once the two VMs reach each other again. */
  #deliver(from: number, to: number, receive: () => void): void {
    const isLate = this.#random() < (this.#world.lateShare ?? 0);
    let at = this.#at + STEP_MILLISECONDS * (1 + Math.floor(this.#random() * (isLate ? 600 : 3)));
    for (const cut of this.#world.cuts ?? []) {
      if (!this.#isReached(from, to, at) && at >= cut.from && at < cut.to) {
        at = cut.to;
      }
    }
    const step = Math.ceil(at / STEP_MILLISECONDS);
    const due = this.#deliveries.get(step) ?? [];
    due.push(receive);
    this.#deliveries.set(step, due);
  }
}

async function simulate(world: World): Promise<SimulationResult> {
  const clock = new testing.TestClock();
  try {
    return await new Simulation(world, clock).run();
  } finally {
    clock.restore();
  }
}

/** Finds by how much the retries exceed what is allowed in the worst window; negative if they keep. */
function findExcess(result: SimulationResult, slack: number): number {
  const count = (times: readonly number[], from: number) =>
    times.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length;
  const ends = result.retriedAt.at(-1) ?? 0;
  let worst = Number.NEGATIVE_INFINITY;
  for (let from = 0; from <= ends; from += 250) {
    const allowed = count(result.requestedAt, from) * RATIO + slack;
    worst = Math.max(worst, count(result.retriedAt, from) - allowed);
  }
  return worst;
}

async function expectWithinBudget(world: World): Promise<void> {
  const slack = world.slack ?? world.vms * SLACK_PER_VM;
  const excess = findExcess(await simulate(world), slack);
  assert.ok(excess <= 0, `${excess.toFixed(1)} retries beyond the budget`);
}

const alone = (share: number, vms: number) => (vm: number) => vm < vms * share ? vm + 1 : 0;

/** Nothing is wanted at first, so that all that may be saved up is there. */
const wantAllFrom = (from: number, share = 1) => (at: number) => at < from ? 0 : share;

test.describe("the retries of all VMs together exceed their budget", { concurrency: 1 }, () => {
  for (const vms of [3, 32, 292, 1_000]) {
    const world = {
      vms,
      dataCentres: Math.min(6, Math.ceil(vms / 8)),
      seconds: 18,
      getWantedShare: wantAllFrom(6_000),
      seed: vms,
    };
    test.test(`when all targets fail before ${vms} VMs`, async () => {
      await expectWithinBudget(world);
    });

    const cuts = {
      "three in ten VMs are each alone": alone(0.3, vms),
      "each VM is alone": alone(1, vms),
      "each data centre is alone": (vm: number) => vm % world.dataCentres,
      "the fleet falls into halves": (vm: number) => vm % 2,
    };
    for (const [what, getGroup] of Object.entries(cuts)) {
      test.test(`when ${what}, of ${vms} VMs`, async () => {
        await expectWithinBudget({ ...world, cuts: [{ from: 5_500, to: 13_500, getGroup }] });
      });
    }

    test.test(`when half of ${vms} VMs are killed while each is alone`, async () => {
      await expectWithinBudget({
        ...world,
        cuts: [{ from: 4_000, to: 14_000, getGroup: alone(1, vms) }],
        kills: [{ at: 5_000, downMilliseconds: 500, isKilled: (vm) => vm % 2 === 0 }],
      });
    });

    test.test(`when all of ${vms} VMs are killed, twice, and messages are late`, async () => {
      await expectWithinBudget({
        ...world,
        lateShare: 0.1,
        kills: [
          { at: 6_500, downMilliseconds: 1_000, isKilled: () => true },
          { at: 11_000, downMilliseconds: 500, isKilled: () => true },
        ],
      });
    });
  }

  test.test("when there is less than one token for each VM, and each is alone", async () => {
    await expectWithinBudget({
      vms: 300,
      dataCentres: 6,
      slack: 150,
      seconds: 18,
      getWantedShare: wantAllFrom(6_000),
      cuts: [{ from: 5_500, to: 13_500, getGroup: alone(1, 300) }],
      seed: 5,
    });
  });

  test.test("in a drawn history of cuts, kills and late messages", async () => {
    const runs = testing.getRandomRuns(571, 40);
    await fc.assert(
      fc.asyncProperty(
        fc.record({
          vms: fc.integer({ min: 1, max: 120 }),
          dataCentres: fc.integer({ min: 1, max: 6 }),
          seed: fc.integer({ min: 1, max: 1_000_000 }),
          lateShare: fc.constantFrom(0, 0.02, 0.3),
          wantedShare: fc.constantFrom(0.1, 0.4, 0.7, 1),
          wantedFrom: fc.integer({ min: 0, max: 80 }),
          cuts: fc.array(
            fc.record({
              from: fc.integer({ min: 20, max: 140 }),
              length: fc.integer({ min: 1, max: 80 }),
              groups: fc.integer({ min: 2, max: 120 }),
            }),
            { maxLength: 3 },
          ),
          kills: fc.array(
            fc.record({
              at: fc.integer({ min: 20, max: 140 }),
              down: fc.integer({ min: 1, max: 30 }),
              every: fc.integer({ min: 1, max: 6 }),
            }),
            { maxLength: 4 },
          ),
        }),
        async ({ cuts, kills, wantedFrom, wantedShare, ...drawn }) => {
          await expectWithinBudget({
            ...drawn,
            seconds: 20,
            getWantedShare: wantAllFrom(wantedFrom * 100, wantedShare),
            cuts: cuts.map(({ from, length, groups }) => ({
              from: from * 100,
              to: (from + length) * 100,
              getGroup: (vm) => vm % groups,
            })),
            kills: kills.map(({ at, down, every }) => ({
              at: at * 100,
              downMilliseconds: down * 100,
              isKilled: (vm) => vm % every === 0,
            })),
          });
        },
      ),
      runs,
    );
  });
});

test.describe("retries are refused although the budget has some left", { concurrency: 1 }, () => {
  /** Part of what one bucket that all VMs share would allow. */
  const MIN_SHARE = 0.95;

  /** Deployments of the users, the last one as it would grow. */
  const deployments = [
    { vms: 32, dataCentres: 4, slack: 56, requestsPerVm: 2.6 },
    { vms: 96, dataCentres: 4, slack: 168, requestsPerVm: 5 },
    // Pools of five or six VMs.
    { vms: 32, dataCentres: 6 },
    { vms: 292, dataCentres: 6 },
    { vms: 1_000, dataCentres: 6 },
  ];
  for (const deployment of deployments) {
    const { vms, dataCentres } = deployment;
    const fleet = `${vms} VMs in ${dataCentres} data centres`;
    for (const wantedShare of [0.05, 0.1, 0.15, 0.4]) {
      test.test(`to ${fleet}, ${wantedShare * 100} of 100 requests wanting one`, async () => {
        const result = await simulate({
          ...deployment,
          seconds: 30,
          getWantedShare: () => wantedShare,
          seed: vms + wantedShare * 100,
        });
        const earned = result.requestedAt.length * RATIO;
        const owed = Math.min(result.wanted, earned);
        const share = result.retriedAt.length / owed;
        assert.ok(share >= MIN_SHARE, `${share.toFixed(3)} of ${Math.round(owed)} were made`);
      });
    }
  }
});

/** A VM that uses the pool of whichever holder is set, and takes part as one token's worth. */
function createAllowance(world: { holder: number | undefined; hasLeft: boolean }) {
  const requests: placement.TokenRequest[] = [];
  const allowance = new placement.RetryAllowance({
    getCapacity: () => 1,
    isFirstStart: true,
    getHolder: () => world.holder,
    hasLeft: () => world.hasLeft,
    send: (request) => requests.push(request),
  });
  return { allowance, requests };
}

test.describe("a VM whose holder changes", () => {
  for (const [what, hasLeft] of [["silently", false], ["by a planned end", true]] as const) {
    test.test(`${what} lends its capacity twice, or later than it may`, async () => {
      const clock = new testing.TestClock();
      try {
        const world = { holder: 1 as number | undefined, hasLeft: false };
        const { allowance, requests } = createAllowance(world);
        const respond = () => {
          const request = requests.at(-1) ?? assert.fail();
          const stamp = clock.monotonicMilliseconds;
          const response = { sequence: request.sequence, stamp, granted: {}, filled: {} };
          allowance.receive(world.holder ?? assert.fail(), response);
        };
        allowance.earn(SERVICE, RATIO);
        allowance.advance();
        respond();
        assert.equal(requests.at(-1)?.capacity, 1);
        assert.equal(allowance.pool.capacity, 0);
        world.hasLeft = hasLeft;
        world.holder = 2;
        await clock.advance(300);
        allowance.advance();
        respond();
        assert.equal(requests.at(-1)?.capacity, hasLeft ? 1 : 0);
        world.hasLeft = false;
        // Longer than the first holder may count on the capacity.
        await clock.advance(placement.LEASE_MILLISECONDS + 500);
        allowance.advance();
        respond();
        allowance.earn(SERVICE, RATIO);
        await clock.advance(300);
        allowance.advance();
        assert.equal(requests.at(-1)?.capacity, 1);
      } finally {
        clock.restore();
      }
    });
  }
});

test.test("a holder that stood still grants tokens against leases that have ended", () => {
  const clock = new testing.TestClock();
  try {
    const pool = new placement.RetryPool(() => 0);
    const base = { capacity: 3, earned: {}, held: {}, wanted: {} };
    const { stamp } = pool.receive(1, { ...base, sequence: 1 });
    pool.receive(1, { ...base, sequence: 2, echo: stamp, earned: { [SERVICE]: 3 } });
    assert.equal(pool.capacity, 3);
    pool.clear();
    assert.equal(pool.take(SERVICE), false);
    assert.equal(pool.capacity, 0);
  } finally {
    clock.restore();
  }
});

test.describe("a retry without a token", () => {
  /** Lets a VM be served by a holder, and hold one token. */
  function createServed(clock: testing.TestClock) {
    const { allowance, requests } = createAllowance({ holder: 1, hasLeft: false });
    const respond = (tokens: number) => {
      const { sequence } = requests.at(-1) ?? assert.fail();
      const granted = { [SERVICE]: tokens };
      allowance.receive(1, { sequence, stamp: clock.monotonicMilliseconds, granted, filled: {} });
    };
    allowance.earn(SERVICE, RATIO);
    allowance.advance();
    respond(0);
    respond(1);
    assert.equal(allowance.take(SERVICE), true);
    return { allowance, respond };
  }

  async function withClock(run: (clock: testing.TestClock) => Promise<void>): Promise<void> {
    const clock = new testing.TestClock();
    try {
      await run(clock);
    } finally {
      clock.restore();
    }
  }

  test.test("is refused although the holder has one", async () => {
    await withClock(async (clock) => {
      const { allowance, respond } = createServed(clock);
      const waits = allowance.takeOrWait(SERVICE);
      await clock.advance(10);
      respond(1);
      assert.equal(await waits, true);
      assert.equal(allowance.take(SERVICE), false, "the token is spent once");
    });
  });

  test.test("waits longer than it may, or in vain after a standstill", async () => {
    await withClock(async (clock) => {
      const { allowance, respond } = createServed(clock);
      const first = allowance.takeOrWait(SERVICE);
      await clock.advance(60);
      assert.equal(await first, false);
      respond(1);
      assert.equal(allowance.take(SERVICE), true, "the late token is kept");
      const second = allowance.takeOrWait(SERVICE);
      allowance.clear();
      assert.equal(await second, false);
    });
  });
});

test.test("a message of another shape is taken for a request or a response", () => {
  const request = { sequence: 1, echo: 5, capacity: 1, earned: {}, held: {}, wanted: {} };
  const response = { sequence: 1, stamp: 5, granted: { desk: 1 }, filled: { desk: 0.5 } };
  assert.ok(
    placement.isTokenRequest(request) && placement.isTokenRequest({ ...request, echo: null }),
  );
  assert.ok(placement.isTokenResponse(response));
  const broken: unknown[] = [null, undefined, 7, "text", [], {}];
  for (const earned of [null, 3, { desk: "1" }, { desk: -1 }, { desk: Number.NaN }]) {
    broken.push({ ...request, earned }, { ...response, granted: earned });
  }
  broken.push({ ...request, echo: "5" }, { ...request, capacity: Infinity });
  for (const message of broken) {
    assert.equal(placement.isTokenRequest(message), false, JSON.stringify(message));
    assert.equal(placement.isTokenResponse(message), false, JSON.stringify(message));
  }
});
