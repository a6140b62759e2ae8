/**
 * Guards against responses that look complete without being so, against parts of another response in
 * one, and against requests that lose their response, over drawn callers, targets, stops and kills.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as fastCheck from "fast-check";
import * as benches from "./answer_bench.ts";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

/** Sizes of responses: below and above what is buffered of one, ahead of its turn or in it. */
const SIZES = [0, 30_000, 100_000, 300_000, 600_000, 1_200_000, 2_000_000];

/** Longest response without a length that a caller of HTTP/1.0 gets. */
const MAX_BUFFERED_BYTES = 262_144;

interface RequestPlan extends benches.AnswerPlan {
  readonly isOldVersion: boolean;
  /** Time after the request before it. */
  readonly afterMilliseconds: number;
}

interface CallerPlan {
  readonly requests: readonly RequestPlan[];
  /** Time after the first request at which the caller begins to read. */
  readonly readsAfterMilliseconds: number;
  /** Time at which it leaves; undefined if it stays. */
  readonly leavesAfterMilliseconds: number | undefined;
}

/** What happens to the VM, in milliseconds after the first requests. */
type VmPlan =
  | { readonly kind: "runs" }
  | { readonly kind: "stop"; readonly at: number; readonly closeAt: number; readonly cutAt: number }
  | { readonly kind: "kill"; readonly at: number };

const MILLISECONDS = fastCheck.integer({ min: 0, max: 100 });

const RARELY = fastCheck.oneof(
  { weight: 9, arbitrary: fastCheck.constant(false) },
  { weight: 1, arbitrary: fastCheck.constant(true) },
);

const REQUEST: fastCheck.Arbitrary<RequestPlan> = fastCheck.record({
  bytes: fastCheck.constantFrom(...SIZES),
  framing: fastCheck.constantFrom("length", "chunks", "none"),
  ending: fastCheck.oneof(
    { weight: 3, arbitrary: fastCheck.constant("whole" as const) },
    { weight: 1, arbitrary: fastCheck.constantFrom("reset", "end", "stall") },
  ),
  sentShare: fastCheck.oneof(
    { weight: 1, arbitrary: fastCheck.double({ min: 0, max: 1, noNaN: true }) },
    { weight: 1, arbitrary: fastCheck.double({ min: 0.5, max: 1, noNaN: true }) },
  ),
  delayMilliseconds: fastCheck.constantFrom(0, 0, 5, 40),
  pauseMilliseconds: fastCheck.constantFrom(0, 5, 10),
  mayRunAhead: RARELY.map((isBarred) => !isBarred),
  isOldVersion: RARELY,
  afterMilliseconds: fastCheck.constantFrom(0, 0, 0, 20),
}).map((plan) =>
  // Nothing tells the early end of a response without a length from its proper one.
  plan.framing === "none" && plan.ending === "end" ? { ...plan, ending: "reset" } : plan
);

const CALLER: fastCheck.Arbitrary<CallerPlan> = fastCheck.record({
  requests: fastCheck.array(REQUEST, { minLength: 1, maxLength: 6, size: "max" }),
  readsAfterMilliseconds: fastCheck.constantFrom(0, 0, 30, 200),
  leavesAfterMilliseconds: fastCheck.oneof(
    { weight: 9, arbitrary: fastCheck.constant(undefined) },
    { weight: 1, arbitrary: MILLISECONDS },
  ),
});

const VM: fastCheck.Arbitrary<VmPlan> = fastCheck.oneof(
  { weight: 2, arbitrary: fastCheck.constant({ kind: "runs" as const }) },
  {
    weight: 2,
    arbitrary: fastCheck.tuple(MILLISECONDS, MILLISECONDS, MILLISECONDS).map(
      ([at, close, cut]) => ({
        kind: "stop" as const,
        at,
        closeAt: at + close,
        cutAt: at + close + 10 * cut,
      }),
    ),
  },
  { weight: 1, arbitrary: MILLISECONDS.map((at) => ({ kind: "kill" as const, at: 2 * at })) },
);

/** What a caller receives, of which the histories must cover each kind. */
type AnswerKind = "whole" | "cut" | "failed";

/** One caller, its requests and what it receives. */
class DrawnCaller {
  readonly ids: readonly string[];
  readonly plan: CallerPlan;
  readonly #caller: raw.RawCaller;
  hasLeft = false;

  constructor(name: string, plan: CallerPlan, bench: benches.AnswerBench) {
    this.plan = plan;
    this.ids = plan.requests.map((_, index) => createId(name, index));
    this.#caller = new raw.RawCaller(bench);
  }

  async run(): Promise<void> {
    if (this.plan.readsAfterMilliseconds > 0) {
      this.#caller.pause();
      setTimeout(() => this.#caller.resume(), this.plan.readsAfterMilliseconds);
    }
    if (this.plan.leavesAfterMilliseconds !== undefined) {
      setTimeout(() => {
        this.hasLeft = true;
        this.#caller.close();
      }, this.plan.leavesAfterMilliseconds);
    }
    for (const [index, request] of this.plan.requests.entries()) {
      if (request.afterMilliseconds > 0) {
        await kernel.sleep(request.afterMilliseconds);
      }
      const version = request.isOldVersion ? "1.0" : "1.1";
      const id = this.ids[index] ?? "";
      this.#caller.send(raw.encodeRequest({ id, method: "GET", version }));
    }
  }

  /** Whether nothing more arrives. */
  isDone(): boolean {
    return this.hasLeft || this.#caller.hasEnded ||
      this.#caller.listAnswers().filter(({ isWhole }) => isWhole).length >= this.ids.length;
  }

  close(): void {
    this.#caller.close();
  }

  /**
   * Checks what was received; returns the identifiers of the requests that have their response.
   *
   * @param count Called with the kind of each response.
   */
  checkAnswers(count: (kind: AnswerKind) => void): string[] {
    const answers = this.#caller.listAnswers();
    const { requests } = this.plan;
    assert.ok(answers.length <= requests.length, "a request has more than one response");
    for (const [index, answer] of answers.entries()) {
      const id = this.ids[index] ?? "";
      const { bytes, ending, framing, isOldVersion } = requests[index] ?? assert.fail();
      assert.equal(answer.id, id, "responses keep the order");
      // Of a response that stalls ahead of its turn, nothing has been sent at its deadline.
      const statuses = ending === "stall" ? [200, 502, 504] : [200, 502];
      assert.ok(statuses.includes(answer.status), `${id}: status ${answer.status}`);
      // A kill ends the connection in order at any byte, and must not complete a response.
      assert.notEqual(answer.delimiting, "end of the connection", `${id} has no end of its own`);
      if (answer.status !== 200) {
        const isRefused = isOldVersion && framing !== "length" && bytes > MAX_BUFFERED_BYTES;
        assert.ok(ending !== "whole" || isRefused, `${id}: a whole response is replaced`);
        count("failed");
        continue;
      }
      const body = benches.createBody(id, bytes);
      assert.ok(body.startsWith(answer.body), `${id}: bytes of something else`);
      count(answer.isWhole ? "whole" : "cut");
      if (answer.isWhole) {
        assert.equal(ending, "whole", `${id}: a part looks complete`);
        assert.equal(answer.body.length, bytes, `${id}: a part looks complete`);
      }
    }
    return answers.filter(({ isWhole }) => isWhole).map(({ id }) => id);
  }

  /** Checks that each request that was read has its response, but for what excuses it. */
  checkLosses(bench: benches.AnswerBench, answered: readonly string[]): void {
    const lost = this.ids.slice(answered.length).filter((id) => bench.read.has(id));
    const [first] = lost;
    if (first === undefined || this.hasLeft) {
      return;
    }
    const plan = this.plan.requests[answered.length];
    const hasBrokenOff = plan?.ending !== "whole";
    const isEndAnnounced = this.#caller.listAnswers().at(-1)?.endsConnection === true;
    const passedOn = lost.filter((id) => bench.passedOn.has(id));
    assert.ok(
      hasBrokenOff || (isEndAnnounced && passedOn.length === 0),
      `${lost.join()} have no response; sent to the target: ${passedOn.join()}`,
    );
  }
}

function createId(caller: string, index: number): string {
  return `${caller}-${index}`;
}

/** Lets the drawn things happen to the VM; returns whether it has cut off its callers. */
function schedule(plan: VmPlan, bench: benches.AnswerBench): () => boolean {
  let isCut = false;
  const cut = () => {
    isCut = true;
    bench.cutOff();
  };
  if (plan.kind === "kill") {
    setTimeout(cut, plan.at);
  } else if (plan.kind === "stop") {
    setTimeout(() => bench.beginStop(), plan.at);
    setTimeout(() => bench.closeListener(), plan.closeAt);
    setTimeout(cut, plan.cutAt);
  }
  return () => isCut;
}

async function runHistory(
  callerPlans: readonly CallerPlan[],
  vmPlan: VmPlan,
  count: (kind: AnswerKind) => void,
): Promise<void> {
  const plans = callerPlans.flatMap(({ requests }, caller) =>
    requests.map((plan, index) => [createId(`c${caller}`, index), plan] as const)
  );
  const bench = new benches.AnswerBench(new Map(plans));
  await bench.start();
  const callers = callerPlans.map((plan, index) => new DrawnCaller(`c${index}`, plan, bench));
  try {
    const isCut = schedule(vmPlan, bench);
    await Promise.all(callers.map((caller) => caller.run()));
    await harness.waitFor(() => callers.every((caller) => caller.isDone()), "all are done", 10_000);
    const hasBeenCut = isCut();
    for (const caller of callers) {
      const answered = caller.checkAnswers(count);
      if (!hasBeenCut) {
        caller.checkLosses(bench, answered);
      }
    }
  } finally {
    callers.forEach((caller) => caller.close());
    await bench.end();
  }
}

test.describe("what callers receive", () => {
  test.test("a drawn response looks complete too early, is another's or is lost", async () => {
    // Biased histories are short ones, in which little meets.
    const callers = fastCheck.noBias(
      fastCheck.array(CALLER, { minLength: 1, maxLength: 5, size: "max" }),
    );
    const counts = new Map<AnswerKind, number>();
    const count = (kind: AnswerKind) => counts.set(kind, (counts.get(kind) ?? 0) + 1);
    await fastCheck.assert(
      fastCheck.asyncProperty(callers, VM, (plans, vmPlan) => runHistory(plans, vmPlan, count)),
      kernelTesting.getRandomRuns(20261206, 20),
    );
    const kinds: readonly AnswerKind[] = ["whole", "cut", "failed"];
    assert.deepEqual(kinds.filter((kind) => !counts.has(kind)), [], "kinds that were not drawn");
  });
});
