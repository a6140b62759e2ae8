/**
 * Tests of a workspace beyond its rate: what a fleet of 30 to 300 VMs admits in each second, with
 * reports that are delayed as by the mesh.
 */

import * as assert from "node:assert/strict";
import process from "node:process";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as placement from "@hemlockwalk/placement";
import * as fc from "fast-check";
import * as randoms from "./random.ts";

const STEP_MILLISECONDS = 10;
const REFILL_MILLISECONDS = 100;
/** The mesh: a tick, its report interval for each VM, an urgent report, relays. */
const TICK_MILLISECONDS = 100;
const INTERVAL_PER_VM_MILLISECONDS = 1.5;
const URGENT_MILLISECONDS = 10;
const MIN_RELAY_MILLISECONDS = 50;
const MAX_RELAY_MILLISECONDS = 150;
const CONFIRMATION_MILLISECONDS = 50;
/** The part of the tolerated excess that the budgets of the proxy allow a bucket. */
const SHARE_OF_EXCESS = 0.4;

/** A request waits this long for a confirmation, as in the budgets of the proxy. */
const MAX_WAIT_MILLISECONDS = 150;

/**
 * Time after which a VM notices that others are out of contact. With the 4.5 s after which the mesh
 * removes members of a fleet of 130, each part admits the whole rate for as long, and then pays back.
 */
const CONTACT_MILLISECONDS = 800;

/** Time from the death of a VM to its next start. */
const DEAD_MILLISECONDS = 500;

/** Time until the last VM applies a new version of the declarations. */
const MAX_APPLICATION_MILLISECONDS = 500;

/** Time that a caller has for a request, its return included. */
const DEADLINE_MILLISECONDS = 10_000;

const QUIET_SECONDS = 3;
const PRESSURE_SECONDS = 10;
const QUIET_SHARE_OF_RATE = 0.3;

/** Share of the rate that a pressing workspace gets, from the design page. */
const LEAST_SHARE = 0.95;
/** Standard deviations of a Poisson count that are allowed below the target. */
const COUNTING_DEVIATIONS = 2;

interface Scenario {
  readonly vms: number;
  readonly rate: number;
  /** Requests under pressure, as a multiple of the rate. */
  readonly factor: number;
  /** VMs at which requests arrive; all if undefined. */
  readonly at?: number;
  /** Times are in milliseconds from the start of the pressure. */
  readonly faults?: Faults;
  /** Share of the requests of each priority, most urgent first; all are of priority 0 if undefined. */
  readonly mix?: readonly number[];
  /** Whether callers return after the time that they are given, once or until their deadline. */
  readonly returns?: "once" | "repeatedly";
  /** Requests that arrive together at one VM, as on a pipelining connection; 1 if undefined. */
  readonly batch?: number;
  /** Time after which requests arrive at other VMs, which were idle; see `at`. */
  readonly movesAfter?: number;
  /** Under pressure, demand is the second factor in every other period. */
  readonly steps?: { readonly milliseconds: number; readonly factor: number };
  /** A new version of the declarations, which the VMs apply one after another. */
  readonly change?: { readonly at: number; readonly rate: number };
  /** Times within which the share of the rate is not checked, only the bound. */
  readonly disturbed?: readonly (readonly [from: number, to: number])[];
}

interface Faults {
  readonly seed: number;
  /** The first data centre of three and the others receive nothing from each other. */
  readonly partition: readonly [from: number, to: number];
  /** The VMs of the first data centre are each cut off, as if their relay stood still. */
  readonly cutOff: readonly [from: number, to: number];
  /** Times at which a VM dies. It starts anew after some time, without tokens. */
  readonly deaths: readonly {
    readonly at: number;
    readonly vm: number;
    /** Time until its next start; half a second if undefined. */
    readonly milliseconds?: number;
  }[];
}

interface SimulatedVm {
  bucket: placement.SharedBucket;
  incarnation: number;
  startedAt: number;
  /** Time at which a VM that has died starts anew. */
  deadUntil: number;
  /** Rate of the version of the declarations in force at this VM. */
  rate: number;
  reportAt: number;
  urgentAt: number;
  waiting: { readonly endsAt: number; readonly request: SimulatedRequest }[];
  readonly returnTimes: placement.ReturnTimes;
}

interface SimulatedRequest {
  readonly priority: number;
  readonly isReturn: boolean;
  /** Time of its first attempt. */
  readonly since: number;
}

interface Outcome extends SimulatedRequest {
  readonly at: number;
  readonly isAdmitted: boolean;
}

interface Message {
  readonly at: number;
  readonly from: number;
  readonly sequence: number;
  readonly incarnation: number;
  readonly counters: placement.BucketCounters;
}

type CreateBucket = (
  level: number,
  observedSince: number,
  random: () => number,
) => placement.SharedBucket;

/** Admissions in each second from the start of the pressure, and the times of all of them. */
interface Result {
  readonly perSecond: readonly number[];
  readonly admittedAt: readonly number[];
  /** The same for one bucket that sees every request at once. */
  readonly owedPerSecond: readonly number[];
  readonly owedAt: readonly number[];
  /** Requests under pressure after the first second, and how many were admitted. */
  readonly outcomes: readonly Outcome[];
  readonly reports: number;
}

async function simulate(scenario: Scenario, createBucket: CreateBucket): Promise<Result> {
  const { vms, rate, factor, faults } = scenario;
  const clock = new testing.TestClock();
  const random = randoms.createRandom(
    faults?.seed ?? vms * 1_000 + rate + Math.round(factor * 10),
  );
  const interval = Math.max(TICK_MILLISECONDS, vms * INTERVAL_PER_VM_MILLISECONDS);
  const propagationMilliseconds = interval + 2 * TICK_MILLISECONDS;
  const presence = { present: vms, expected: vms, propagationMilliseconds };
  const fleet = Array.from({ length: vms }, (): SimulatedVm => {
    const bucket = createBucket(rate, Number.NEGATIVE_INFINITY, random);
    bucket.refill(0, presence);
    return {
      bucket,
      incarnation: 1,
      startedAt: 0,
      deadUntil: Number.NEGATIVE_INFINITY,
      rate,
      reportAt: random() * interval,
      urgentAt: Number.POSITIVE_INFINITY,
      waiting: [],
      returnTimes: new placement.ReturnTimes(random),
    };
  });
  const names = fleet.map((_, index) => `vm-${index}`);
  const isFirst = (index: number) => index < vms / 3;
  const isWithin = (span: readonly [number, number] | undefined, now: number) => {
    const at = now - QUIET_SECONDS * 1_000;
    return span !== undefined && at >= span[0] && at < span[1];
  };
  const isAlone = (index: number, now: number) => isFirst(index) && isWithin(faults?.cutOff, now);
  const isReachable = (from: number, to: number, now: number) =>
    !isAlone(from, now) && !isAlone(to, now) &&
    (isFirst(from) === isFirst(to) || !isWithin(faults?.partition, now));
  /** Time since which one VM has heard another one again after a loss of contact. */
  const getContactSince = (from: number, isToFirst: boolean, now: number) => {
    if (faults === undefined) {
      return Number.NEGATIVE_INFINITY;
    }
    const spans = [
      ...(isFirst(from) === isToFirst ? [] : [faults.partition]),
      ...(isFirst(from) || isToFirst ? [faults.cutOff] : []),
    ];
    const ends = spans.flatMap((span) =>
      span[1] - span[0] >= CONTACT_MILLISECONDS ? [span[1] + QUIET_SECONDS * 1_000] : []
    ).filter((end) => end <= now && (fleet[from]?.startedAt ?? 0) < end);
    return Math.max(Number.NEGATIVE_INFINITY, ...ends) + clock.monotonicMilliseconds - now;
  };
  /** VMs that this one has heard within the contact time, itself included. */
  const countPresent = (index: number, now: number) => {
    const alive = fleet.filter((vm) => vm.deadUntil <= now).length;
    if (faults === undefined) {
      return alive;
    }
    const times = [0, 0.25, 0.5, 0.75, 1].map((part) => now - part * CONTACT_MILLISECONDS);
    /** All VMs of a part of the fleet are heard or not, as the faults concern whole data centres. */
    const isHeard = (other: number) => times.some((at) => isReachable(other, index, at));
    const firstSize = Math.ceil(vms / 3);
    const missing = (isHeard(0) ? 0 : firstSize) + (isHeard(vms - 1) ? 0 : vms - firstSize);
    const isSelfMissing = !isHeard(isFirst(index) ? 0 : vms - 1);
    return Math.max(1, alive - missing + (isSelfMissing ? 1 : 0));
  };
  const admittedAt: number[] = [];
  const owedAt: number[] = [];
  let centralLevel = rate;
  const deliveries = new Map<number, Message[]>();
  const confirmations = new Map<number, Message[]>();
  const outcomes: Outcome[] = [];
  const returning = new Map<number, SimulatedRequest[]>();
  let sequence = 0;
  let reports = 0;
  const schedule = (queue: Map<number, Message[]>, at: number, message: Omit<Message, "at">) => {
    const step = Math.ceil(at / STEP_MILLISECONDS);
    const list = queue.get(step) ?? [];
    list.push({ ...message, at });
    queue.set(step, list);
  };
  const report = (vm: SimulatedVm, from: number, now: number) => {
    const counters = vm.bucket.collect(++sequence);
    const { incarnation } = vm;
    vm.reportAt = now + interval;
    vm.urgentAt = Number.POSITIVE_INFINITY;
    if (counters !== undefined) {
      reports++;
      const delay = MIN_RELAY_MILLISECONDS +
        random() * (MAX_RELAY_MILLISECONDS - MIN_RELAY_MILLISECONDS);
      schedule(deliveries, now + delay, { from, sequence, incarnation, counters });
      schedule(
        confirmations,
        now + CONFIRMATION_MILLISECONDS,
        { from, sequence, incarnation, counters },
      );
    }
  };
  const drawVm = (now: number): SimulatedVm => {
    const at = Math.min(vms, scenario.at ?? vms);
    const moves = scenario.movesAfter === undefined ? 0 : Math.floor(now / scenario.movesAfter);
    let index = (moves * at + Math.floor(random() * at)) % vms;
    while ((fleet[index]?.deadUntil ?? 0) > now) {
      index = (index + 1) % vms;
    }
    return fleet[index] ?? assert.fail();
  };
  const drawPriority = () => {
    let left = random();
    const drawn = (scenario.mix ?? [1]).findIndex((share) => (left -= share) < 0);
    return Math.max(0, drawn);
  };
  const attempt = (vm: SimulatedVm, endsAt: number, now: number, request: SimulatedRequest) => {
    const { priority, isReturn, since } = request;
    const result = vm.bucket.tryTake(now >= endsAt, priority);
    if (result === "taken") {
      admittedAt.push(now - QUIET_SECONDS * 1_000);
    } else if (result === "unconfirmed") {
      vm.waiting.push({ endsAt, request });
    } else if (scenario.returns === "repeatedly" || (scenario.returns === "once" && !isReturn)) {
      const rate = vm.bucket.getExpectedRate(priority);
      const timeLeft = since + DEADLINE_MILLISECONDS - now;
      const delay = vm.returnTimes.take(priority, rate, now, timeLeft);
      const at = Math.ceil((now + delay) / STEP_MILLISECONDS);
      if (timeLeft > delay) {
        returning.set(at, [...(returning.get(at) ?? []), { priority, isReturn: true, since }]);
      }
    }
    if (result !== "unconfirmed" && now >= (QUIET_SECONDS + 1) * 1_000) {
      outcomes.push({
        ...request,
        at: now - QUIET_SECONDS * 1_000,
        isAdmitted: result === "taken",
      });
    }
    if (vm.bucket.isUrgent) {
      vm.urgentAt = Math.min(vm.urgentAt, now + URGENT_MILLISECONDS);
    }
  };
  /** Lets VMs die, and start anew with the level of another one. */
  const replace = (now: number) => {
    for (const { at, vm: index, milliseconds = DEAD_MILLISECONDS } of faults?.deaths ?? []) {
      const vm = fleet[index % vms];
      if (vm !== undefined && at + QUIET_SECONDS * 1_000 === now && vm.deadUntil <= now) {
        vm.deadUntil = now + milliseconds;
        vm.waiting = [];
      }
    }
    fleet.forEach((vm, index) => {
      if (vm.deadUntil === now) {
        vm.bucket = createBucket(0, clock.monotonicMilliseconds, random);
        vm.bucket.refill(0, presence);
        const neighbour = fleet.findIndex((other, from) =>
          from !== index && other.deadUntil <= now && isReachable(from, index, now)
        );
        vm.bucket.adoptLevel(fleet[neighbour]?.bucket.level ?? 0);
        vm.incarnation++;
        vm.startedAt = now;
      }
    });
  };
  const batch = scenario.batch ?? 1;
  const changeAt = QUIET_SECONDS * 1_000 + (scenario.change?.at ?? Number.POSITIVE_INFINITY);
  const getRate = (now: number) => now >= changeAt ? scenario.change?.rate ?? rate : rate;
  const getFactor = (now: number) => {
    const pressedFor = now - QUIET_SECONDS * 1_000;
    const { steps } = scenario;
    return pressedFor < 0
      ? QUIET_SHARE_OF_RATE
      : steps !== undefined && Math.floor(pressedFor / steps.milliseconds) % 2 === 1
      ? steps.factor
      : factor;
  };
  let nextArrival = 0;
  try {
    const end = (QUIET_SECONDS + PRESSURE_SECONDS) * 1_000;
    for (let now = 0; now < end; now += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
      const step = now / STEP_MILLISECONDS;
      replace(now);
      for (const { from, sequence: reported, incarnation } of confirmations.get(step) ?? []) {
        const vm = fleet[from];
        if (vm?.incarnation === incarnation && !isAlone(from, now)) {
          vm.bucket.confirm(reported);
        }
      }
      for (const { from, incarnation, counters } of deliveries.get(step) ?? []) {
        const age = now - (fleet[from]?.startedAt ?? 0);
        const name = names[from] ?? assert.fail();
        const ordinal = String(incarnation);
        const contactSinceOfFirst = getContactSince(from, true, now);
        const contactSinceOfOthers = getContactSince(from, false, now);
        fleet.forEach((vm, to) => {
          if (to !== from && vm.deadUntil <= now && isReachable(from, to, now)) {
            const trackedShare = Math.min(1, (now - vm.startedAt) / Math.max(age, 1));
            const contactSince = isFirst(to) ? contactSinceOfFirst : contactSinceOfOthers;
            vm.bucket.receive(name, ordinal, counters, trackedShare, contactSince);
          }
        });
      }
      confirmations.delete(step);
      deliveries.delete(step);
      fleet.forEach((vm, index) => {
        if ((now + index * STEP_MILLISECONDS) % REFILL_MILLISECONDS === 0) {
          const applied = getRate(now - index / vms * MAX_APPLICATION_MILLISECONDS);
          if (applied !== vm.rate) {
            const excess = countBound(applied) - 6 * applied;
            vm.rate = applied;
            vm.bucket.setLimits(applied, SHARE_OF_EXCESS * excess, excess);
          }
          const present = countPresent(index, now);
          vm.bucket.refill(applied * REFILL_MILLISECONDS / 1_000, { ...presence, present });
        }
        const waiting = vm.waiting;
        vm.waiting = [];
        waiting.forEach(({ endsAt, request }) => attempt(vm, endsAt, now, request));
      });
      const current = getRate(now);
      centralLevel = Math.min(current, centralLevel + current * STEP_MILLISECONDS / 1_000);
      const demand = rate * getFactor(now) / 1_000;
      for (const request of returning.get(step) ?? []) {
        attempt(drawVm(now), now + MAX_WAIT_MILLISECONDS, now, request);
      }
      returning.delete(step);
      nextArrival = Math.max(nextArrival, now);
      while (nextArrival < now + STEP_MILLISECONDS) {
        let vm: SimulatedVm | undefined;
        for (let together = 0; together < batch; together++) {
          const request = { priority: drawPriority(), isReturn: false, since: now };
          vm ??= drawVm(now);
          attempt(vm, now + MAX_WAIT_MILLISECONDS, now, request);
          if (centralLevel >= 1) {
            centralLevel--;
            owedAt.push(now - QUIET_SECONDS * 1_000);
          }
        }
        nextArrival += -Math.log(1 - random()) * batch / demand;
      }
      fleet.forEach((vm, from) => {
        if (vm.deadUntil <= now && (vm.reportAt <= now || vm.urgentAt <= now)) {
          report(vm, from, now);
        }
      });
    }
  } finally {
    clock.restore();
  }
  return {
    perSecond: countPerSecond(admittedAt),
    admittedAt,
    owedPerSecond: countPerSecond(owedAt),
    owedAt,
    outcomes,
    reports,
  };
}

function countPerSecond(times: readonly number[]): number[] {
  return Array.from(
    { length: PRESSURE_SECONDS },
    (_, second) => times.filter((at) => at >= 0 && Math.floor(at / 1_000) === second).length,
  );
}

function countBusiestWindow(admittedAt: readonly number[], milliseconds: number): number {
  let first = 0;
  let most = 0;
  admittedAt.forEach((at, index) => {
    while ((admittedAt[first] ?? at) <= at - milliseconds) {
      first++;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Checks the targets of the design page. Returns the findings. */
function check(scenario: Scenario, result: Result): string[] {
  const { rate, factor, batch = 1, disturbed = [] } = scenario;
  const { perSecond, owedPerSecond } = result;
  const findings = checkBound(scenario, result);
  const sum = (counts: readonly number[], from: number, to: number) =>
    counts.slice(from, to).reduce((total, count) => total + count, 0);
  const isDisturbed = (from: number, to: number) =>
    disturbed.some(([start, end]) => start < to * 1_000 && end > from * 1_000);
  /** Requests of a batch that are admitted together. */
  const together = Math.max(1, batch / factor);
  // Two seconds each, since arrivals vary.
  for (let second = 1; second + 1 < perSecond.length; second++) {
    if (isDisturbed(second, second + 2)) {
      continue;
    }
    const admitted = sum(perSecond, second, second + 2);
    const owed = sum(owedPerSecond, second, second + 2);
    const noise = COUNTING_DEVIATIONS * Math.sqrt(owed * together);
    // Until the central bucket is empty, what one admits later the other one has admitted before.
    const isBurstSpent = sum(owedPerSecond, second - 1, second) <= 1.05 * rate;
    if (admitted < LEAST_SHARE * owed - noise || (isBurstSpent && admitted > owed + noise)) {
      findings.push(`seconds ${second} and ${second + 1}: ${admitted} of ${owed}`);
    }
  }
  // Over ten seconds the counting noise is small.
  const sumUndisturbed = (counts: readonly number[]) =>
    counts.reduce(
      (total, count, second) => total + (isDisturbed(second, second + 1) ? 0 : count),
      0,
    );
  const total = sumUndisturbed(perSecond);
  const owed = sumUndisturbed(owedPerSecond);
  if (total < LEAST_SHARE * owed) {
    findings.push(`${total} of ${owed} in all`);
  }
  return findings;
}

/** Checks the bound of the design page, for each rate in force. Returns the findings. */
function checkBound({ rate, change }: Scenario, { admittedAt }: Result): string[] {
  const changeAt = change?.at ?? Number.POSITIVE_INFINITY;
  const changedAt = changeAt + MAX_APPLICATION_MILLISECONDS;
  const parts = [
    { times: admittedAt.filter((at) => at < changeAt), bound: countBound(rate) },
    {
      times: admittedAt.filter((at) => at >= changedAt),
      bound: countBound(change?.rate ?? rate),
    },
    { times: admittedAt, bound: countBound(Math.max(rate, change?.rate ?? rate)) },
  ];
  return parts.flatMap(({ times, bound }) => {
    const most = countBusiestWindow(times, WINDOW_MILLISECONDS);
    return most > bound ? [`${most} admitted in 5 s, at most ${bound} are allowed`] : [];
  });
}

const WINDOW_MILLISECONDS = 5_000;

/**
 * Time after which the VMs have heard of each other again, and have paid back what they took beyond
 * the rate without knowing of each other as far as the bound requires it.
 */
const SETTLING_MILLISECONDS = 2_000;

const SCENARIOS: readonly Scenario[] = [
  { vms: 30, rate: 263, factor: 1.3 },
  { vms: 30, rate: 40, factor: 2, at: 5 },
  { vms: 130, rate: 263, factor: 1.3 },
  { vms: 130, rate: 263, factor: 5 },
  { vms: 130, rate: 263, factor: 2, at: 5 },
  { vms: 130, rate: 40, factor: 2 },
  { vms: 300, rate: 263, factor: 2 },
  { vms: 300, rate: 263, factor: 5, at: 5 },
  { vms: 300, rate: 40, factor: 5 },
];

/** Every combination, for `HEMLOCKWALK_ALL_RATES=1`. */
function listAllScenarios(): Scenario[] {
  return [30, 130, 300].flatMap((vms) =>
    [263, 40].flatMap((rate) =>
      [1.3, 2, 5].flatMap((factor) => [
        { vms, rate, factor },
        { vms, rate, factor, at: 5 },
      ])
    )
  );
}

/** Creates buckets as the budgets of the proxy do; with `HEMLOCKWALK_BEFORE`, without pressure. */
function createCreateBucket(rate: number): CreateBucket {
  const excess = countBound(rate) - 6 * rate;
  return (level, observedSince, random) => {
    const pressure = process.env["HEMLOCKWALK_BEFORE"] === undefined
      ? new placement.RatePressure({ excess, observedSince, random })
      : undefined;
    return new placement.SharedBucket(rate, level, SHARE_OF_EXCESS * excess, pressure);
  };
}

/** The most requests of a workspace that may run in 5 s; its burst equals its rate. */
function countBound(rate: number): number {
  return (rate * 5 + rate) * 1.25 + 20;
}

test.describe("a workspace beyond its rate", () => {
  const scenarios = process.env["HEMLOCKWALK_ALL_RATES"] === undefined
    ? SCENARIOS
    : listAllScenarios();
  for (const scenario of scenarios) {
    const { vms, rate, factor, at } = scenario;
    // Guards against an overdrawn bucket, the refusals that follow it, and shares that no VM uses.
    test.test(
      `gets its rate in each second: ${vms} VMs, rate ${rate}, ${factor} times, at ${at ?? "all"}`,
      async (context) => {
        const result = await simulate(scenario, createCreateBucket(rate));
        context.diagnostic(
          `${result.perSecond.join(" ")}; owed ${
            result.owedPerSecond.join(" ")
          }; ${result.reports} reports`,
        );
        assert.deepEqual(check(scenario, result), []);
      },
    );
  }

  const pressure = { vms: 60, rate: 263, factor: 5 };
  const noFaults: Faults = { seed: 7, partition: [0, 0], cutOff: [0, 0], deaths: [] };
  /** Half of the VMs die within half a second. */
  const deaths = Array.from({ length: 30 }, (_, index) => ({
    at: 4_000 + index % 6 * 100,
    vm: index * 2,
    milliseconds: 2_500,
  }));
  const situations: Readonly<Record<string, Scenario>> = {
    // With fewer VMs, none is idle between its batches.
    "requests arrive in batches at VMs that were idle": { ...pressure, vms: 130, batch: 20 },
    "requests move to VMs that were idle": { ...pressure, vms: 130, at: 5, movesAfter: 2_500 },
    // The share of the dead VMs is withheld.
    "half of the VMs die and start anew": {
      ...pressure,
      faults: { ...noFaults, deaths },
      disturbed: [[4_000, 7_000]],
    },
    "a new version raises the rate": { ...pressure, change: { at: 4_000, rate: 400 } },
    "a new version lowers the rate": { ...pressure, change: { at: 4_000, rate: 150 } },
    // A change of demand is known after the propagation time.
    "demand steps up and down": {
      ...pressure,
      steps: { milliseconds: 3_000, factor: 1.2 },
      disturbed: [[3_000, 4_000], [6_000, 7_000], [9_000, 10_000]],
    },
    // Demand grows for as long as callers return, and its average of two seconds falls behind.
    "refused requests return repeatedly": {
      ...pressure,
      factor: 2,
      returns: "repeatedly",
      disturbed: [[0, 7_000]],
    },
    "a data centre is out of contact": {
      ...pressure,
      faults: { ...noFaults, partition: [4_000, 8_000] },
      disturbed: [[4_000, 5_000], [8_000, 8_500]],
    },
  };
  for (const [name, scenario] of Object.entries(situations)) {
    // Guards against seconds in which more than the rate is admitted and that are paid back later.
    test.test(`gets its rate in each second while ${name}`, async (context) => {
      const result = await simulate(scenario, createCreateBucket(scenario.rate));
      context.diagnostic(
        `${result.perSecond.join(" ")}; owed ${result.owedPerSecond.join(" ")}`,
      );
      assert.deepEqual(check(scenario, result), []);
    });
  }

  // Guards against urgent requests that are served least, and against kinds that are starved.
  test.test("has its urgent requests served first, and no kind is starved", async (context) => {
    for (const vms of [30, 130]) {
      const scenario = { vms, rate: 263, factor: 2, mix: [0.25, 0.25, 0.3, 0.2] };
      const result = await simulate(scenario, createCreateBucket(scenario.rate));
      const getShare = (outcomes: Result["outcomes"]) =>
        outcomes.filter((outcome) => outcome.isAdmitted).length / outcomes.length;
      const shares = scenario.mix.map((_, priority) =>
        getShare(result.outcomes.filter((outcome) => outcome.priority === priority))
      );
      const overall = getShare(result.outcomes);
      context.diagnostic(`${shares.map((share) => share.toFixed(2)).join(" ")} by priority`);
      shares.forEach((share, priority) => {
        assert.ok(share >= overall / 4, `priority ${priority}: ${share} of ${overall}`);
        assert.ok(priority === 0 || share <= (shares[priority - 1] ?? 1) + 0.05, `${priority}`);
      });
      assert.ok((shares[0] ?? 0) >= 0.95, `${shares[0]} of the most urgent requests`);
      assert.deepEqual(check(scenario, result), []);
    }
  });

  // Guards against waves of returning requests, and against returns that fare worse than others.
  test.test("gets its rate while refused requests return", async (context) => {
    for (const vms of [30, 130]) {
      const scenario = { vms, rate: 263, factor: 1.5, returns: "once" as const };
      const result = await simulate(scenario, createCreateBucket(scenario.rate));
      // Until the burst is spent nearly all are admitted, and few return.
      const pressed = result.outcomes.filter((outcome) => outcome.at >= 4_000);
      const count = (isReturn: boolean) => {
        const outcomes = pressed.filter((outcome) => outcome.isReturn === isReturn);
        const admitted = outcomes.filter((outcome) => outcome.isAdmitted).length;
        return { of: outcomes.length, share: admitted / outcomes.length };
      };
      const returns = count(true);
      const others = count(false);
      context.diagnostic(
        `${result.perSecond.join(" ")}; returns ${returns.share.toFixed(2)}, ` +
          `others ${others.share.toFixed(2)}`,
      );
      const variance = others.share * (1 - others.share);
      const noise = COUNTING_DEVIATIONS * Math.sqrt(variance * (1 / returns.of + 1 / others.of));
      assert.ok(returns.share >= others.share - noise, "returns fare no worse");
      assert.deepEqual(check(scenario, result), []);
    }
  });

  // Guards against VMs that each spend the whole refill once they are out of contact, and against
  // a workspace that stays below its rate after contact is back or a VM was replaced.
  test.test("keeps to the bound and gets its rate over drawn faults", async () => {
    const runs = testing.getRandomRuns(204, 10);
    const span = (from: number, longest: number) =>
      fc.tuple(fc.integer({ min: 0, max: 3_000 }), fc.integer({ min: 0, max: longest })).map(
        ([at, length]) => [from + at, from + at + length] as const,
      );
    await fc.assert(
      fc.asyncProperty(
        fc.record({
          vms: fc.integer({ min: 30, max: 60 }),
          rate: fc.constantFrom(40, 100, 263),
          factor: fc.constantFrom(1.3, 2, 5),
          at: fc.constantFrom(5, 60),
          faults: fc.record({
            seed: fc.nat(),
            partition: span(0, 3_000),
            cutOff: span(0, 3_000),
            deaths: fc.array(
              fc.record({
                at: fc.integer({ min: 0, max: 90 }).map((step) => step * 100),
                vm: fc.nat({ max: 59 }),
              }),
              { maxLength: 4 },
            ),
          }),
        }),
        async (scenario) => {
          const { rate, faults } = scenario;
          const { admittedAt, owedAt } = await simulate(scenario, createCreateBucket(rate));
          const bound = countBound(rate);
          const most = countBusiestWindow(admittedAt, WINDOW_MILLISECONDS);
          assert.ok(most <= bound, `${most} admitted in 5 s, at most ${bound} are allowed`);
          const settledAt = SETTLING_MILLISECONDS +
            Math.max(1_000, faults.partition[1], faults.cutOff[1]);
          // A deviation is corrected within about a second, so the noise is that of one second.
          const noise = COUNTING_DEVIATIONS * Math.sqrt(rate);
          const last = PRESSURE_SECONDS * 1_000 - WINDOW_MILLISECONDS;
          for (let from = settledAt; from <= last; from += 250) {
            const count = (times: readonly number[]) =>
              times.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length;
            const admitted = count(admittedAt);
            const owed = count(owedAt);
            assert.ok(
              admitted >= LEAST_SHARE * owed - noise,
              `${admitted} of ${owed} admitted in 5 s from ${from} ms`,
            );
          }
        },
      ),
      runs,
    );
  });
});
