/**
 * Ejection and return of targets by an evaluator.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fastCheck from "fast-check";
import type * as model from "@hemlockwalk/model";
import * as evaluators from "../src/service_evaluator.ts";
import * as latencies from "../src/latency_buckets.ts";
import * as messages from "../src/messages.ts";
import type * as serviceEvidence from "../src/service_evidence.ts";
import * as fixtures from "./fixtures.ts";

const ROUTE = messages.createShortId(fixtures.ROUTE);
const TARGETS = Array.from(
  { length: 10 },
  (_, index) => messages.createShortId(fixtures.getTargetId(index)),
);

const OPTIONS: evaluators.EvaluatorOptions = {
  nats: 18,
  minimumPeers: 0,
  getMinimumSources: () => 3,
  comparesDataCentres: () => true,
  enforceFloor: true,
};

interface Recorded {
  readonly evaluator: evaluators.ServiceEvaluator;
  ejected: number;
  returned: evaluators.ReturnReason[];
  refused: number;
}

function createEvaluator(
  allowance: number,
  options: evaluators.EvaluatorOptions = OPTIONS,
): Recorded {
  const recorded: { -readonly [Name in keyof Recorded]: Recorded[Name] } = {
    evaluator: undefined as unknown as evaluators.ServiceEvaluator,
    ejected: 0,
    returned: [],
    refused: 0,
  };
  recorded.evaluator = new evaluators.ServiceEvaluator(options, {
    ejected: () => recorded.ejected++,
    returned: (_target, reason) => recorded.returned.push(reason),
    trialFailed: () => {},
    refusedByFloor: () => recorded.refused++,
  });
  recorded.evaluator.setTargets(TARGETS.map((target) => ({ target, leaving: false })), allowance);
  return recorded;
}

function getTarget(index: number): (typeof TARGETS)[number] {
  const target = TARGETS[index];
  assert.ok(target !== undefined);
  return target;
}

function report(
  evaluator: evaluators.ServiceEvaluator,
  target: number,
  vm: number,
  now: number,
  change: Partial<serviceEvidence.ReportedCalls> = {},
  trial = false,
): void {
  evaluator.report(
    {
      vm: `vm-${vm}` as model.VmId,
      dataCentre: fixtures.getDataCentre(vm % 4),
      target: getTarget(target),
      route: ROUTE,
      result: "answered",
      bucket: latencies.getBucket(20),
      count: 1,
      near: false,
      ...change,
    },
    trial,
    now,
  );
}

/** Runs calls from all VMs to all targets, of which the failing ones refuse connections. */
function runCalls(
  evaluator: evaluators.ServiceEvaluator,
  from: number,
  milliseconds: number,
  failing: ReadonlySet<number>,
): number {
  let now = from;
  let vm = 0;
  for (; now < from + milliseconds; now += 100) {
    for (let target = 0; target < TARGETS.length; target++) {
      vm++;
      const isOut = evaluator.listVerdicts(now).some((verdict) =>
        verdict.target === TARGETS[target]
      );
      if (!isOut) {
        report(evaluator, target, vm % 12, now, failing.has(target) ? { result: "broken" } : {});
      }
    }
    evaluator.evaluate(now);
  }
  return now;
}

function getFirst(evaluator: evaluators.ServiceEvaluator, now: number) {
  const [first] = evaluator.listVerdicts(now);
  assert.ok(first !== undefined);
  return first;
}

test.describe("service evaluator", () => {
  test.it("ejects a target that refuses connections, but not below the floor", () => {
    const recorded = createEvaluator(1);
    runCalls(recorded.evaluator, 1_000, 5_000, new Set([2, 7]));
    assert.equal(recorded.evaluator.listVerdicts(5_900).length, 1);
    assert.ok(recorded.refused > 0);
  });

  test.it("uses all targets when all fail", () => {
    const recorded = createEvaluator(3);
    const now = runCalls(recorded.evaluator, 1_000, 5_000, new Set([4]));
    assert.equal(recorded.evaluator.listVerdicts(now).length, 1);
    runCalls(recorded.evaluator, now, 12_000, new Set([0, 1, 2, 3, 4, 5, 6, 7, 8, 9]));
    assert.equal(recorded.evaluator.listVerdicts(now + 12_000).length, 0);
    assert.ok(recorded.returned.includes("general_failure"));
  });

  test.it("attributes shed calls and slow calls of all targets to load", () => {
    const recorded = createEvaluator(3);
    let now = runCalls(recorded.evaluator, 1_000, 30_000, new Set());
    const slow = { bucket: latencies.getBucket(400) };
    for (const end = now + 20_000; now < end; now += 100) {
      for (let target = 0; target < TARGETS.length; target++) {
        const shed = target === 3 && now % 300 === 0;
        report(recorded.evaluator, target, now / 100 % 12, now, shed ? { result: "shed" } : slow);
      }
      recorded.evaluator.evaluate(now);
    }
    assert.equal(recorded.ejected, 0);
  });

  test.it("prolongs repeated ejections, and returns a target after successful trials only", () => {
    const recorded = createEvaluator(3);
    const { evaluator } = recorded;
    let now = runCalls(evaluator, 1_000, 5_000, new Set([2]));
    const first = getFirst(evaluator, now);
    now += first.remainingMilliseconds;
    evaluator.evaluate(now);
    assert.equal(getFirst(evaluator, now).state, "trial");
    report(evaluator, 2, 1, now, { result: "broken" }, true);
    const second = getFirst(evaluator, now);
    assert.equal(second.state, "out");
    assert.equal(second.ejectionCount, 2);
    assert.equal(second.remainingMilliseconds, 10_000);

    now += second.remainingMilliseconds;
    evaluator.evaluate(now);
    for (let success = 1; success <= 4; success++) {
      report(evaluator, 2, success, now, {}, true);
      assert.equal(evaluator.listVerdicts(now).length, 1);
    }
    report(evaluator, 2, 5, now, {}, true);
    assert.equal(evaluator.listVerdicts(now).length, 0);
    assert.deepEqual(recorded.returned, ["trial"]);
  });

  test.it("lets a probe start the trial earlier, but neither end nor prevent an ejection", () => {
    const { evaluator } = createEvaluator(3);
    const now = runCalls(evaluator, 1_000, 5_000, new Set([2]));
    const before = getFirst(evaluator, now).remainingMilliseconds;
    evaluator.recordProbeSuccess(getTarget(2));
    evaluator.recordProbeSuccess(getTarget(2));
    const after = getFirst(evaluator, now);
    assert.equal(after.state, "out");
    assert.ok(after.remainingMilliseconds < before);
    evaluator.evaluate(now + after.remainingMilliseconds);
    assert.equal(getFirst(evaluator, now).state, "trial");
  });

  test.it("does not eject for all VMs when a single VM or data centre is affected", () => {
    const { evaluator } = createEvaluator(3);
    let now = runCalls(evaluator, 1_000, 10_000, new Set());
    for (const end = now + 10_000; now < end; now += 100) {
      for (let target = 0; target < TARGETS.length; target++) {
        const vm = (now / 100 + target) % 12;
        const bad = (target === 1 && vm === 3) || (target === 5 && vm % 4 === 2);
        report(evaluator, target, vm, now, bad ? { result: "broken" } : {});
      }
      evaluator.evaluate(now);
    }
    const verdicts = evaluator.listVerdicts(now);
    assert.deepEqual(
      verdicts.map(({ target, scope }) => ({ target, dataCentre: scope.dataCentre })),
      [{ target: getTarget(5), dataCentre: fixtures.getDataCentre(2) }],
    );
  });

  test.it("ejects a target for all VMs when it fails for a second data centre too", () => {
    const { evaluator } = createEvaluator(3);
    let now = runCalls(evaluator, 1_000, 10_000, new Set());
    const runFrom = (dataCentres: readonly number[], milliseconds: number) => {
      for (const end = now + milliseconds; now < end; now += 100) {
        for (let target = 0; target < TARGETS.length; target++) {
          // The failing target is called from these data centres only.
          const vm = dataCentres.map((index) => index + 4 * (now / 100 % 3));
          const callers = target === 5 ? vm : [0, 1, 2, 3];
          for (const caller of callers) {
            report(evaluator, target, caller, now, target === 5 ? { result: "broken" } : {});
          }
        }
        evaluator.evaluate(now);
      }
    };
    evaluator.discardEvidence();
    runFrom([2], 1_000);
    assert.equal(getFirst(evaluator, now).scope.dataCentre, fixtures.getDataCentre(2));
    runFrom([1], 1_000);
    const verdicts = evaluator.listVerdicts(now);
    assert.deepEqual(verdicts.map(({ scope }) => scope.dataCentre), [undefined]);
  });

  test.it("ejects a target for one route only when only that route fails", () => {
    const { evaluator } = createEvaluator(3);
    const other = messages.createShortId(fixtures.OTHER_ROUTE);
    let now = 1_000;
    for (; now < 16_000; now += 100) {
      for (let target = 0; target < TARGETS.length; target++) {
        const vm = (now / 100 + target) % 12;
        const route = (now / 100) % 5 === 0 ? other : ROUTE;
        const bad = target === 6 && route === other;
        report(evaluator, target, vm, now, bad ? { result: "failed", route } : { route });
      }
      evaluator.evaluate(now);
    }
    const verdicts = evaluator.listVerdicts(now);
    assert.deepEqual(
      verdicts.map(({ target, scope }) => ({ target, route: scope.route })),
      [{ target: getTarget(6), route: other }],
    );
  });

  test.it("keeps the floor under any evidence and any change of the targets", () => {
    const step = fastCheck.oneof(
      fastCheck.record({
        kind: fastCheck.constant("calls" as const),
        target: fastCheck.nat(9),
        dataCentre: fastCheck.option(fastCheck.nat(3)),
        bad: fastCheck.boolean(),
        trial: fastCheck.boolean(),
      }),
      fastCheck.record({
        kind: fastCheck.constant("declare" as const),
        leaving: fastCheck.uniqueArray(fastCheck.nat(9), { maxLength: 4 }),
        allowance: fastCheck.nat(4),
      }),
      fastCheck.record({ kind: fastCheck.constant("adopt" as const), target: fastCheck.nat(9) }),
      fastCheck.record({ kind: fastCheck.constant("wait" as const), time: fastCheck.nat(9_000) }),
    );
    const run = (enforceFloor: boolean) =>
      fastCheck.property(fastCheck.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
        const { evaluator } = createEvaluator(2, { ...OPTIONS, enforceFloor });
        let now = runCalls(evaluator, 1_000, 2_000, new Set());
        let allowance = 2;
        let leaving: number[] = [];
        for (const entry of steps) {
          if (entry.kind === "calls") {
            for (let call = 0; call < 12; call++) {
              const change = entry.bad ? { result: "broken" as const } : {};
              const place = entry.dataCentre === null
                ? {}
                : { dataCentre: fixtures.getDataCentre(entry.dataCentre) };
              report(evaluator, entry.target, call, now, { ...change, ...place }, entry.trial);
            }
          } else if (entry.kind === "declare") {
            ({ allowance, leaving } = entry);
            evaluator.setTargets(
              TARGETS.map((target, index) => ({ target, leaving: leaving.includes(index) })),
              allowance,
            );
          } else if (entry.kind === "adopt") {
            evaluator.adopt({
              target: getTarget(entry.target),
              scope: {},
              state: "out",
              remainingMilliseconds: 5_000,
              ejectionCount: 1,
            }, now);
          } else {
            now += entry.time;
          }
          evaluator.evaluate(now);
          for (let dataCentre = 0; dataCentre < 4; dataCentre++) {
            const out = evaluator.listVerdicts(now).filter(({ scope }) =>
              scope.dataCentre === undefined ||
              scope.dataCentre === fixtures.getDataCentre(dataCentre)
            );
            const different = new Set(out.map(({ target }) => target));
            assert.ok(different.size <= allowance, `${different.size} out, ${allowance} allowed`);
            assert.ok(leaving.every((index) => !different.has(getTarget(index))));
          }
        }
      });
    fastCheck.assert(run(true), { seed: 6_002, numRuns: 150 });
    assert.ok(fastCheck.check(run(false), { seed: 6_002, numRuns: 150 }).failed);
  });
});
