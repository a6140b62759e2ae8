/**
 * Ejection and return by a judge.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fastCheck from "fast-check";
import type * as model from "@hemlockwalk/model";
import * as judges from "../src/service_evaluator.ts";
import * as latencies from "../src/latency_buckets.ts";
import * as messages from "../src/messages.ts";
import type * as evidences from "../src/service_evidence.ts";
import * as fixtures from "./fixtures.ts";

const ROUTE = messages.createShortId(fixtures.ROUTE);
const TARGETS = Array.from(
  { length: 10 },
  (_, index) => messages.createShortId(fixtures.getTargetId(index)),
);

const OPTIONS: judges.JudgeOptions = {
  nats: 18,
  leastPeers: 0,
  getLeastSources: () => 3,
  separatesPaths: () => true,
  keepFloor: true,
};

interface Recorded {
  readonly judge: judges.ServiceJudge;
  ejected: number;
  returned: judges.ReturnReason[];
  refused: number;
}

function createJudge(allowance: number, options: judges.JudgeOptions = OPTIONS): Recorded {
  const recorded: { -readonly [Name in keyof Recorded]: Recorded[Name] } = {
    judge: undefined as unknown as judges.ServiceJudge,
    ejected: 0,
    returned: [],
    refused: 0,
  };
  recorded.judge = new judges.ServiceJudge(options, {
    ejected: () => recorded.ejected++,
    returned: (_target, reason) => recorded.returned.push(reason),
    trialFailed: () => {},
    refusedByFloor: () => recorded.refused++,
  });
  recorded.judge.declare(TARGETS.map((target) => ({ target, leaving: false })), allowance);
  return recorded;
}

function getTarget(index: number): (typeof TARGETS)[number] {
  const target = TARGETS[index];
  assert.ok(target !== undefined);
  return target;
}

function report(
  judge: judges.ServiceJudge,
  target: number,
  vm: number,
  now: number,
  change: Partial<evidences.ReportedCalls> = {},
  trial = false,
): void {
  judge.report(
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

/** Calls to all targets from all VMs; the sick ones refuse. */
function runCalls(
  judge: judges.ServiceJudge,
  from: number,
  milliseconds: number,
  sick: ReadonlySet<number>,
): number {
  let now = from;
  let vm = 0;
  for (; now < from + milliseconds; now += 100) {
    for (let target = 0; target < TARGETS.length; target++) {
      vm++;
      const isOut = judge.listVerdicts(now).some((verdict) => verdict.target === TARGETS[target]);
      if (!isOut) {
        report(judge, target, vm % 12, now, sick.has(target) ? { result: "broken" } : {});
      }
    }
    judge.evaluate(now);
  }
  return now;
}

function getFirst(judge: judges.ServiceJudge, now: number) {
  const [first] = judge.listVerdicts(now);
  assert.ok(first !== undefined);
  return first;
}

test.describe("service judge", () => {
  test.it("ejects a target that refuses, and refuses to go below the floor", () => {
    const recorded = createJudge(1);
    runCalls(recorded.judge, 1_000, 5_000, new Set([2, 7]));
    assert.equal(recorded.judge.listVerdicts(5_900).length, 1);
    assert.ok(recorded.refused > 0);
  });

  test.it("uses all targets when all fail", () => {
    const recorded = createJudge(3);
    const now = runCalls(recorded.judge, 1_000, 5_000, new Set([4]));
    assert.equal(recorded.judge.listVerdicts(now).length, 1);
    runCalls(recorded.judge, now, 12_000, new Set([0, 1, 2, 3, 4, 5, 6, 7, 8, 9]));
    assert.equal(recorded.judge.listVerdicts(now + 12_000).length, 0);
    assert.ok(recorded.returned.includes("general_failure"));
  });

  test.it("takes shed answers and slowness of all targets for load", () => {
    const recorded = createJudge(3);
    let now = runCalls(recorded.judge, 1_000, 30_000, new Set());
    const slow = { bucket: latencies.getBucket(400) };
    for (const end = now + 20_000; now < end; now += 100) {
      for (let target = 0; target < TARGETS.length; target++) {
        const shed = target === 3 && now % 300 === 0;
        report(recorded.judge, target, now / 100 % 12, now, shed ? { result: "shed" } : slow);
      }
      recorded.judge.evaluate(now);
    }
    assert.equal(recorded.ejected, 0);
  });

  test.it("keeps repeat offenders out longer, and returns a target after good trials only", () => {
    const recorded = createJudge(3);
    const { judge } = recorded;
    let now = runCalls(judge, 1_000, 5_000, new Set([2]));
    const first = getFirst(judge, now);
    now += first.remainingMilliseconds;
    judge.evaluate(now);
    assert.equal(getFirst(judge, now).state, "trial");
    report(judge, 2, 1, now, { result: "broken" }, true);
    const second = getFirst(judge, now);
    assert.equal(second.state, "out");
    assert.equal(second.offences, 2);
    assert.equal(second.remainingMilliseconds, 10_000);

    now += second.remainingMilliseconds;
    judge.evaluate(now);
    for (let success = 1; success <= 4; success++) {
      report(judge, 2, success, now, {}, true);
      assert.equal(judge.listVerdicts(now).length, 1);
    }
    report(judge, 2, 5, now, {}, true);
    assert.equal(judge.listVerdicts(now).length, 0);
    assert.deepEqual(recorded.returned, ["trial"]);
  });

  test.it("lets a probe bring the trial forward, but neither end nor prevent an ejection", () => {
    const { judge } = createJudge(3);
    const now = runCalls(judge, 1_000, 5_000, new Set([2]));
    const before = getFirst(judge, now).remainingMilliseconds;
    judge.noteProbeSuccess(getTarget(2));
    judge.noteProbeSuccess(getTarget(2));
    const after = getFirst(judge, now);
    assert.equal(after.state, "out");
    assert.ok(after.remainingMilliseconds < before);
    judge.evaluate(now + after.remainingMilliseconds);
    assert.equal(getFirst(judge, now).state, "trial");
  });

  test.it("does not eject for what one VM or one data centre alone sees", () => {
    const { judge } = createJudge(3);
    let now = runCalls(judge, 1_000, 10_000, new Set());
    for (const end = now + 10_000; now < end; now += 100) {
      for (let target = 0; target < TARGETS.length; target++) {
        const vm = (now / 100 + target) % 12;
        const bad = (target === 1 && vm === 3) || (target === 5 && vm % 4 === 2);
        report(judge, target, vm, now, bad ? { result: "broken" } : {});
      }
      judge.evaluate(now);
    }
    const verdicts = judge.listVerdicts(now);
    assert.deepEqual(
      verdicts.map(({ target, scope }) => ({ target, dataCentre: scope.dataCentre })),
      [{ target: getTarget(5), dataCentre: fixtures.getDataCentre(2) }],
    );
  });

  test.it("ejects a target that a second data centre sees failing too", () => {
    const { judge } = createJudge(3);
    let now = runCalls(judge, 1_000, 10_000, new Set());
    const runFrom = (dataCentres: readonly number[], milliseconds: number) => {
      for (const end = now + milliseconds; now < end; now += 100) {
        for (let target = 0; target < TARGETS.length; target++) {
          // The sick target is called from these data centres only.
          const vm = dataCentres.map((index) => index + 4 * (now / 100 % 3));
          const callers = target === 5 ? vm : [0, 1, 2, 3];
          for (const caller of callers) {
            report(judge, target, caller, now, target === 5 ? { result: "broken" } : {});
          }
        }
        judge.evaluate(now);
      }
    };
    judge.voidEvidence();
    runFrom([2], 1_000);
    assert.equal(getFirst(judge, now).scope.dataCentre, fixtures.getDataCentre(2));
    runFrom([1], 1_000);
    const verdicts = judge.listVerdicts(now);
    assert.deepEqual(verdicts.map(({ scope }) => scope.dataCentre), [undefined]);
  });

  test.it("avoids a target for one route only when only that route fails", () => {
    const { judge } = createJudge(3);
    const other = messages.createShortId(fixtures.OTHER_ROUTE);
    let now = 1_000;
    for (; now < 16_000; now += 100) {
      for (let target = 0; target < TARGETS.length; target++) {
        const vm = (now / 100 + target) % 12;
        const route = (now / 100) % 5 === 0 ? other : ROUTE;
        const bad = target === 6 && route === other;
        report(judge, target, vm, now, bad ? { result: "failed", route } : { route });
      }
      judge.evaluate(now);
    }
    const verdicts = judge.listVerdicts(now);
    assert.deepEqual(
      verdicts.map(({ target, scope }) => ({ target, route: scope.route })),
      [{ target: getTarget(6), route: other }],
    );
  });

  test.it("keeps the floor in its count under any evidence and any change of the targets", () => {
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
    const run = (keepFloor: boolean) =>
      fastCheck.property(fastCheck.array(step, { minLength: 20, maxLength: 60 }), (steps) => {
        const { judge } = createJudge(2, { ...OPTIONS, keepFloor });
        let now = runCalls(judge, 1_000, 2_000, new Set());
        let allowance = 2;
        let leaving: number[] = [];
        for (const entry of steps) {
          if (entry.kind === "calls") {
            for (let call = 0; call < 12; call++) {
              const change = entry.bad ? { result: "broken" as const } : {};
              const place = entry.dataCentre === null
                ? {}
                : { dataCentre: fixtures.getDataCentre(entry.dataCentre) };
              report(judge, entry.target, call, now, { ...change, ...place }, entry.trial);
            }
          } else if (entry.kind === "declare") {
            ({ allowance, leaving } = entry);
            judge.declare(
              TARGETS.map((target, index) => ({ target, leaving: leaving.includes(index) })),
              allowance,
            );
          } else if (entry.kind === "adopt") {
            judge.adopt({
              target: getTarget(entry.target),
              scope: {},
              state: "out",
              remainingMilliseconds: 5_000,
              offences: 1,
            }, now);
          } else {
            now += entry.time;
          }
          judge.evaluate(now);
          for (let dataCentre = 0; dataCentre < 4; dataCentre++) {
            const out = judge.listVerdicts(now).filter(({ scope }) =>
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
