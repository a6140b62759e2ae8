/**
 * Tests of what the log and the metrics tell when a caller's connection ends.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";
import * as raw from "./raw_caller.ts";

const DECLARED = harness.createDeclarations(1, {
  routes: [
    harness.createRoute({
      pathPrefix: "/slow/",
      timeoutMilliseconds: 30_000,
    }),
  ],
});

test.describe(
  "a request that is cut off at the end of the grace period",
  { concurrency: 2 },
  () => {
    test.test("it is not named in the log, or gets no response", async () => {
      await harness.withVm(1, async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        let answerLate: () => void = assert.fail;
        target.behaviour = (request, response) => {
          answerLate = () => harness.answerSuccess(request, response);
        };
        const answer = vm.call({
          path: "/slow/1",
          headers: { [harness.PROFILE.requestId]: "cut-off", [harness.PROFILE.deadline]: "30000" },
        });
        await harness.waitFor(() => target.requests.length === 1, "the request is passed on");
        const stopped = vm.stop();
        assert.equal((await answer).status, 504);
        answerLate();
        await stopped;
        const { line } = vm.getTrace("cut-off");
        assert.deepEqual([line.outcome, line.status], ["stopping", 504]);
        const ends = vm.log.filter(({ code }) => code === kernel.LogMessages.connectionEnded.code);
        assert.deepEqual(ends, [], "nothing is owed on its connection");
      }, DECLARED);
    });

    test.test("it is not named in the log if its response has begun", async () => {
      await harness.withVm(1, async (vm) => {
        const [target] = vm.targets;
        assert.ok(target !== undefined);
        target.behaviour = (request, response) => {
          response.writeHead(200, {
            ...harness.createAnswerHeaders(request),
            "Content-Length": 500_000,
          });
          response.write("x".repeat(400_000));
        };
        const caller = new raw.RawCaller(vm);
        caller.send(raw.encodeRequest({ id: "cut-off", path: "/slow/1" }));
        await harness.waitFor(() => caller.received.length > 0, "the response begins");
        await vm.stop();
        await harness.waitFor(() => caller.hasEnded, "the connection ends");
        assert.deepEqual(caller.listAnswers().map(({ isWhole }) => isWhole), [false]);
        const line = vm.log.find(({ code }) => code === kernel.LogMessages.connectionEnded.code);
        assert.deepEqual(
          [line?.ending, line?.stopping, line?.passedOn, line?.waiting],
          ["closed", true, "cut-off", ""],
        );
        caller.close();
      }, DECLARED);
    });
  },
);
