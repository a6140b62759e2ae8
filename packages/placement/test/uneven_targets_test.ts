/**
 * Plays the choices of a fleet over uneven targets, without a network.
 *
 * Guards against a chooser that keeps sending requests that must not be repeated to targets that
 * fail, hang or are slow. The clock is that of the play, and all draws come from a fixed seed.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as randoms from "./random.ts";

const SEED = 20_261_205;
const END = 24_000;
const FIRST_SECONDS = 4_000;
const VMS = 115;
const TARGETS = 136;
const SLOTS = 4;
const REQUESTS_PER_MILLISECOND = 0.64;
const REPEATABLE_SHARE = 0.29;
/** Requests that may wait at a target; it sheds further ones. */
const QUEUE_LENGTH = 8;
const ROUND_TRIP = 5;
/** By this time all VMs may know of the first overdue call: three mean times, and 250 ms to tell. */
const DETECTABLE_AFTER = 970;
const ATTEMPTS = 3;
const OBJECTIVE = 1_000;
const TIME_LIMIT = 1_500;
/** Time after which a repeatable request is sent elsewhere, in mean processing times. */
const SILENT_AFTER_MEAN_TIMES = 4;
const SURVIVAL = 60;
const ROUTE = "route";
/** Mean of 97 in 100 requests; the others take 7 times as long, so that the mean is 240 ms. */
const USUAL_TIME = 203;
const TAIL_SHARE = 0.03;
const TAIL_FACTOR = 7;
const SPREAD = 0.5;

type Random = () => number;

interface Period {
  readonly from: number;
  readonly to: number;
  readonly factor: number;
}

/** Draws the periods in which a target is in a state, for a share of the time. */
function drawPeriods(random: Random, share: number, getDuration: () => number): Period[] {
  const periods: Period[] = [];
  let from = random() < share ? -random() * getDuration() : drawGap();
  while (from < END) {
    const to = from + getDuration();
    periods.push({ from, to, factor: 5 + 7 * random() });
    from = to + drawGap();
  }
  return periods;

  function drawGap(): number {
    return -Math.log(1 - random()) * getDuration() * (1 - share) / share;
  }
}

function findPeriod(periods: readonly Period[], at: number): Period | undefined {
  return periods.find(({ from, to }) => from <= at && at < to);
}

class Target {
  readonly id: model.TargetId;
  readonly #failing: readonly Period[];
  readonly #hanging: readonly Period[];
  readonly #slow: readonly Period[];
  /** Times at which the requests that run or wait there end. */
  #endsAt: number[] = [];
  requests = 0;

  constructor(index: number, random: Random) {
    this.id = model.createTargetId(`target-${index}`);
    this.#failing = drawPeriods(random, 0.3, () => -Math.log(1 - random()) * 2_700);
    this.#hanging = drawPeriods(random, 0.07, () => 5_000);
    this.#slow = drawPeriods(random, 0.16, () => 6_000);
  }

  /** Serves a request once a slot is free; sheds it if too many others wait already. */
  serve(now: number, request: Request): Served {
    this.requests++;
    if (findPeriod(this.#hanging, now) !== undefined && request.luck < 2 / 3) {
      const { from } = findPeriod(this.#hanging, now) ?? assert.fail();
      return { endsAt: Infinity, result: "silent", hungFor: now - from };
    }
    if (findPeriod(this.#failing, now) !== undefined && request.luck * 7 % 1 < 0.9) {
      return { endsAt: now + ROUND_TRIP, result: "error" };
    }
    this.#endsAt = this.#endsAt.filter((endsAt) => endsAt > now).sort((a, b) => a - b);
    if (this.#endsAt.length >= SLOTS + QUEUE_LENGTH) {
      return { endsAt: now + ROUND_TRIP, result: "shed" };
    }
    const begin = this.#endsAt[this.#endsAt.length - SLOTS] ?? now;
    const factor = findPeriod(this.#slow, begin)?.factor ?? 1;
    const endsAt = begin + request.processingTime * factor;
    this.#endsAt.push(endsAt);
    return { endsAt, result: "success" };
  }
}

interface Served {
  readonly endsAt: number;
  readonly result: "success" | "error" | "shed" | "silent";
  /** Time for which the target has been hanging, if it hangs on the request. */
  readonly hungFor?: number;
}

interface Request {
  readonly arrivedAt: number;
  readonly vm: number;
  readonly isRepeatable: boolean;
  readonly processingTime: number;
  readonly luck: number;
  readonly tried: Set<number>;
}

function drawRequest(arrivedAt: number, random: Random): Request {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const usual = USUAL_TIME * Math.exp(SPREAD * normal - SPREAD * SPREAD / 2);
  return {
    arrivedAt,
    vm: Math.floor(random() * VMS),
    isRepeatable: random() < REPEATABLE_SHARE,
    processingTime: usual * (random() < TAIL_SHARE ? TAIL_FACTOR : 1),
    luck: random(),
    tried: new Set(),
  };
}

/** What one VM knows of the targets. */
class Vm {
  readonly health = Array.from({ length: TARGETS }, () => new placement.HealthEstimate());
  readonly load = new Array<number>(TARGETS).fill(0);
  readonly times = new placement.ProcessingTimes();
}

/** Counts of one part of the play; failures and waits are of requests that must not be repeated. */
class Counts {
  errors = 0;
  hangs = 0;
  /** Waits at targets that had been hanging for longer than `DETECTABLE_AFTER`. */
  detectableHangs = 0;
  otherTimeouts = 0;
  refused = 0;
  requests = 0;
  withinObjective = 0;

  get failures(): number {
    return this.errors + this.hangs + this.otherTimeouts + this.refused;
  }
}

type Failure = "errors" | "hangs" | "otherTimeouts" | "refused";

const RESULT_COUNTS = {
  success: "success",
  error: "errors",
  silent: "otherTimeouts",
  shed: "refused",
} as const;

/** Which evidence the VMs use. */
type Evidence = "none" | "ended calls" | "open calls";

class Play {
  readonly first = new Counts();
  readonly later = new Counts();
  readonly #evidence: Evidence;
  readonly #random = randoms.createRandom(SEED + 1);
  readonly #targets: readonly Target[];
  readonly #vms = Array.from({ length: VMS }, () => new Vm());
  readonly #events = new Map<number, (() => void)[]>();
  #now = 0;

  constructor(evidence: Evidence) {
    this.#evidence = evidence;
    const random = randoms.createRandom(SEED);
    this.#targets = Array.from({ length: TARGETS }, (_, index) => new Target(index, random));
    for (let at = 0; at < END; at += -Math.log(1 - random()) / REQUESTS_PER_MILLISECOND) {
      const request = drawRequest(at, random);
      this.#at(at, () => this.#send(request));
    }
  }

  run(): this {
    const systemNow = performance.now.bind(performance);
    performance.now = () => this.#now;
    try {
      for (this.#now = 0; this.#now < END + 2 * TIME_LIMIT; this.#now++) {
        this.#events.get(this.#now)?.forEach((event) => event());
        this.#events.delete(this.#now);
      }
    } finally {
      performance.now = systemNow;
    }
    return this;
  }

  /** Requests to the busiest target, as a multiple of the mean. */
  get busiest(): number {
    const counts = this.#targets.map(({ requests }) => requests);
    return Math.max(...counts) / (counts.reduce((sum, count) => sum + count) / TARGETS);
  }

  describe(): string {
    const [first, later] = [this.first, this.later].map((counts) =>
      `${counts.errors} errors, ${counts.hangs} waits at hanging targets ` +
      `(${counts.detectableHangs} after detection was possible), ` +
      `${counts.otherTimeouts} other timeouts, ${counts.refused} refused, ` +
      `${
        (counts.withinObjective / counts.requests * 100).toFixed(1)
      }% of ${counts.requests} in time`
    );
    return `${this.#evidence}: first ${first}; later ${later}; busiest ${this.busiest.toFixed(2)}`;
  }

  #at(time: number, event: () => void): void {
    const at = Math.max(Math.ceil(time), this.#now);
    const events = this.#events.get(at) ?? [];
    this.#events.set(at, events);
    events.push(event);
  }

  /** Applies a change at one VM now and at the others once they are told. */
  #tell(from: number, change: (vm: Vm) => void): void {
    change(this.#getVm(from));
    this.#at(this.#now + 80 + 170 * this.#random(), () =>
      this.#vms.forEach((vm, index) => {
        if (index !== from) {
          change(vm);
        }
      }));
  }

  #getVm(index: number): Vm {
    return this.#vms[index] ?? assert.fail();
  }

  #choose(request: Request, mean: number): number | undefined {
    const vm = this.#getVm(request.vm);
    const candidates = this.#targets.map(({ id }, index): placement.Candidate => {
      const health = vm.health[index] ?? assert.fail();
      return {
        id,
        slots: SLOTS,
        load: vm.load[index] ?? 0,
        failureProbability: health.failureProbability,
        sinceLastOutcomeMilliseconds: this.#now - health.lastOutcomeAt,
        evidenceAgeMilliseconds: this.#now - health.evidenceAt,
        relativeProcessingTime: vm.times.getRelativeTime(id),
        isUnreachable: false,
        isRemote: false,
        warmUpMilliseconds: 0,
      };
    }).filter((_, index) => !request.tried.has(index));
    const choice = placement.chooseTarget(candidates, {
      mayRetry: request.isRepeatable && request.tried.size + 1 < ATTEMPTS,
      objectiveMilliseconds: OBJECTIVE,
      meanProcessingMilliseconds: mean,
      allowedOverflow: 1,
    }, this.#random);
    return choice.kind === "chosen"
      ? this.#targets.findIndex(({ id }) => id === choice.candidate.id)
      : undefined;
  }

  #send(request: Request): void {
    const { times } = this.#getVm(request.vm);
    const mean = times.getRouteMean(ROUTE, OBJECTIVE);
    const index = this.#evidence === "none"
      ? Math.floor(this.#random() * TARGETS)
      : this.#choose(request, mean);
    if (index === undefined) {
      if (this.#now < request.arrivedAt + OBJECTIVE / 2) {
        this.#at(this.#now + 10, () => this.#send(request));
      } else {
        this.#finish(request, "refused");
      }
      return;
    }
    const startedAt = this.#now;
    const target = this.#targets[index] ?? assert.fail();
    request.tried.add(index);
    this.#changeLoad(request.vm, index, 1);
    const served = target.serve(startedAt, request);
    const mayRetry = request.tried.size < ATTEMPTS &&
      (request.isRepeatable || served.result === "shed");
    const silentAt = Math.min(
      request.arrivedAt + TIME_LIMIT,
      mayRetry ? startedAt + SILENT_AFTER_MEAN_TIMES * mean : Infinity,
    );
    const endsAt = Math.ceil(Math.min(served.endsAt, silentAt));
    const record = (outcome: placement.Outcome) =>
      this.#tell(request.vm, ({ health }) => health[index]?.recordOutcome(outcome, startedAt));
    if (endsAt > startedAt + SURVIVAL) {
      this.#at(startedAt + SURVIVAL, () => record("survived"));
    }
    const overdueAt = startedAt + placement.getOverdueMilliseconds(
      mean * times.getRelativeTime(target.id),
      OBJECTIVE,
    );
    const isOverdue = this.#evidence === "open calls" && endsAt > overdueAt;
    if (isOverdue) {
      this.#at(overdueAt, () => record("overdue"));
    }
    this.#at(endsAt, () => {
      this.#changeLoad(request.vm, index, -1);
      const result = served.endsAt > silentAt ? "silent" : served.result;
      if (result === "success" && isOverdue) {
        record("late");
      }
      record(result);
      if (result === "success") {
        times.record(ROUTE, target.id, endsAt - startedAt, OBJECTIVE);
      }
      if (result !== "success" && mayRetry && this.#now < request.arrivedAt + TIME_LIMIT) {
        this.#send(request);
      } else {
        this.#getCounts(request).detectableHangs +=
          !request.isRepeatable && (served.hungFor ?? 0) > DETECTABLE_AFTER ? 1 : 0;
        this.#finish(request, served.result === "silent" ? "hangs" : RESULT_COUNTS[result]);
      }
    });
  }

  #changeLoad(from: number, target: number, change: number): void {
    this.#tell(from, ({ load }) => load[target] = (load[target] ?? 0) + change);
  }

  #getCounts(request: Request): Counts {
    return request.arrivedAt < FIRST_SECONDS ? this.first : this.later;
  }

  #finish(request: Request, result: "success" | Failure): void {
    const counts = this.#getCounts(request);
    counts.requests++;
    if (result === "success") {
      counts.withinObjective += this.#now <= request.arrivedAt + OBJECTIVE ? 1 : 0;
    } else if (!request.isRepeatable) {
      counts[result]++;
    }
  }
}

test.describe("uneven targets", () => {
  const blind = new Play("none").run();
  const ended = new Play("ended calls").run();
  const open = new Play("open calls").run();

  test.test("evidence halves the failures of requests that must not be repeated", (context) => {
    [blind, ended, open].forEach((play) => context.diagnostic(play.describe()));
    for (const play of [ended, open]) {
      assert.ok(play.later.failures <= blind.later.failures / 2);
      assert.ok(play.first.failures < blind.first.failures);
      assert.ok(play.later.hangs <= blind.later.hangs / 2);
      assert.ok(play.later.detectableHangs <= blind.later.detectableHangs / 4);
    }
  });

  test.test("the fleet does not overload the best targets, which then shed requests", () => {
    for (const play of [ended, open]) {
      assert.ok(play.later.refused <= play.later.requests / 1_000);
    }
  });
});

test.describe("open calls", () => {
  test.test("overdue calls of several VMs make a target suspected, one tail call does not", () => {
    const systemNow = performance.now.bind(performance);
    let now = 0;
    performance.now = () => now;
    try {
      const hanging = new placement.HealthEstimate();
      const healthy = new placement.HealthEstimate();
      healthy.recordOutcome("success", 0, 3);
      hanging.recordOutcome("success", 0, 3);
      // Three VMs each wait on a call; all of them survive the time of errors.
      for (const startedAt of [100, 200, 300]) {
        now = startedAt + SURVIVAL;
        hanging.recordOutcome("survived", startedAt);
        healthy.recordOutcome("survived", startedAt);
      }
      const overdueAfter = placement.getOverdueMilliseconds(240, OBJECTIVE);
      assert.ok(overdueAfter + 250 < TIME_LIMIT);
      now = 100 + overdueAfter;
      healthy.recordOutcome("overdue", 100);
      for (const startedAt of [100, 200, 300]) {
        now = startedAt + overdueAfter;
        hanging.recordOutcome("overdue", startedAt);
      }
      assert.ok(hanging.failureProbability > 0.5, `hanging: ${hanging.failureProbability}`);
      assert.ok(healthy.failureProbability < 0.3, `healthy: ${healthy.failureProbability}`);
      const before = hanging.failureProbability;
      hanging.recordOutcome("late", 300, 3);
      assert.ok(hanging.failureProbability < before / 2, `late: ${hanging.failureProbability}`);
    } finally {
      performance.now = systemNow;
    }
  });

  test.test("a target that is known to be slow is overdue later, at the objective at most", () => {
    assert.equal(placement.getOverdueMilliseconds(100, OBJECTIVE), 300);
    assert.equal(placement.getOverdueMilliseconds(500, OBJECTIVE), OBJECTIVE);
  });

  test.test("every call of a route that is slower than its objective, or very fast, is overdue", () => {
    assert.equal(placement.getOverdueMilliseconds(1_500, OBJECTIVE), 2_250);
    assert.equal(placement.getOverdueMilliseconds(10, OBJECTIVE), 100);
  });
});
