/**
 * Tests of what the log and the metrics tell when a caller's connection ends.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";

test.test("a request that is cut off at the end of the grace period is named in the log", async () => {
  await harness.withVm(
    1,
    async (vm) => {
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
      assert.equal((await answer).status, 0);
      answerLate();
      await stopped;
      const line = vm.log.find(({ code }) => code === kernel.LogMessages.connectionEnded.code);
      assert.deepEqual(
        [line?.ending, line?.stopping, line?.passedOn, line?.waiting],
        ["closed", true, "cut-off", ""],
      );
    },
    harness.createDeclarations(1, {
      routes: [
        harness.createRoute({
          pathPrefix: "/slow/",
          timeoutMilliseconds: 30_000,
        }),
      ],
    }),
  );
});
