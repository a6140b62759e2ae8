/**
 * Tests that the causes of failed requests can be found from the log alone.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as harness from "./harness.ts";

function callWithId(vm: harness.TestVm, id: string, request: harness.CallerRequest = {}) {
  return vm.call({ ...request, headers: { [harness.PROFILE.requestId]: id, ...request.headers } });
}

test.describe("request traces", () => {
  test.it("of a request over its workspace's rate contain the rate, the level and the share", async () => {
    const declared = harness.createDeclarations(1, {
      workspaces: [{
        id: model.createWorkspaceId("city"),
        keys: ["secret"],
        priority: undefined,
        ratePerSecond: 0.001,
        burst: 1,
      }],
    });
    await harness.withVm(1, async (vm) => {
      let refused: string | undefined;
      for (let request = 0; refused === undefined; request++) {
        assert.ok(request < 200, "no request was refused");
        const answer = await callWithId(vm, `rate-${request}`);
        refused = answer.status === 429 ? `rate-${request}` : undefined;
      }
      const { line, steps } = vm.getTrace(refused);
      assert.equal(line.outcome, "over_rate");
      assert.equal(steps.length, 1);
      const [step] = steps;
      assert.equal(step?.["step"], "over_rate");
      assert.equal(step?.["workspace"], "city");
      assert.equal(step?.["rate"], 0.001);
      assert.ok(Number(step?.["level"]) < 1 && Number(step?.["share"]) < 1, JSON.stringify(step));
      assert.equal(step?.["vms"], 1);
    }, declared);
  });

  test.it("of a request whose attempt the VM ended contain why, and the time that was left", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = () => undefined;
      const caller = new AbortController();
      const left = callWithId(vm, "left", {
        path: "/reads/1",
        method: "GET",
        signal: caller.signal,
      });
      await harness.waitFor(() => target.requests.length === 1, "the request is passed on");
      caller.abort();
      await left;
      const headers = { [harness.PROFILE.deadline]: "300" };
      const late = await callWithId(vm, "late", { path: "/reads/1", method: "GET", headers });
      assert.equal(late.status, 504);
      await harness.waitFor(
        () => ["left", "late"].every((id) => vm.log.some(({ request }) => request === id)),
        "both traces",
      );
      for (const [id, reason] of [["left", "caller_left"], ["late", "deadline"]] as const) {
        const step = vm.getTrace(id).steps.find(({ step }) => step === "given_up");
        assert.equal(step?.["reason"], reason);
        assert.equal(step?.["target"], target.id);
        assert.equal(step?.["stopping"], false);
        assert.equal(Number(step?.["left"]) > 1, id === "left", JSON.stringify(step));
        const labels = { reason };
        assert.equal(await vm.readCounter("hemlockwalk_attempts_given_up_total", labels), 1);
      }
    });
  });

  test.it("of a request with an unknown key or route contain the version in force", async () => {
    await harness.withVm(1, async (vm) => {
      const key = "key-that-nobody-has";
      const answer = await callWithId(vm, "key", { headers: { Authorization: `Bearer ${key}` } });
      assert.equal(answer.status, 401);
      assert.equal((await callWithId(vm, "route", { path: "/nowhere/1" })).status, 404);
      for (const [id, finding] of [["key", "unknown_key"], ["route", "unknown_route"]] as const) {
        const { line, steps } = vm.getTrace(id);
        assert.equal(line.outcome, finding);
        assert.equal(steps[0]?.["finding"], finding);
        assert.equal(steps[0]?.["version"], 1);
        assert.ok(Number(steps[0]?.["confirmedAge"]) < 3_000);
      }
      assert.ok(!JSON.stringify(vm.log).includes(key), "a key never appears");
    });
  });

  test.it("of a request to a failing target contain the target and its estimated health", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = (request, response) =>
        response.writeHead(500, harness.createAnswerHeaders(request)).end();
      assert.equal((await callWithId(vm, "failing")).status, 500);
      const { line, steps } = vm.getTrace("failing");
      assert.equal(line.outcome, "answered");
      assert.deepEqual(steps.map((step) => step["step"]), ["accepted", "placed", "answered"]);
      assert.equal(steps[1]?.["target"], "target-0");
      assert.equal(typeof steps[1]?.["sickness"], "number");
      assert.ok(Number(steps[1]?.["confirmedAge"]) < 3_000);
      assert.equal(steps[2]?.["status"], 500);
      const suspicions = vm.log.filter(({ code }) =>
        code === kernel.LogMessages.targetSuspected.code
      );
      assert.equal(suspicions.length, 1, "the change of the estimate is logged too");
    });
  });

  test.it("of a request whose caller disconnected while it waited contain that outcome", async () => {
    await harness.withVm(1, async (vm) => {
      const [target] = vm.targets;
      assert.ok(target !== undefined);
      target.behaviour = () => undefined;
      const leaving = new AbortController();
      const answer = callWithId(vm, "left", { signal: leaving.signal });
      await harness.waitFor(() => vm.countRequests() === 1, "the request arrives");
      leaving.abort();
      await answer;
      await harness.waitFor(() => vm.log.some(({ request }) => request === "left"), "its trace");
      assert.equal(vm.getTrace("left").line.outcome, "caller_left");
    });
  });
});
