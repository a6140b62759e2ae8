/**
 * Tests of `hemlockctl explain-placement` against a VM in this process. A title names the failure
 * that the test guards against.
 */

import * as assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as http from "node:http";
import process from "node:process";
import * as test from "node:test";
import * as url from "node:url";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";
import * as neverthrow from "neverthrow";
import * as harness from "./harness.ts";

const TOOL = url.fileURLToPath(new URL("../../../operator/dist/src/main.js", import.meta.url));
const REQUEST = ["--method", "POST", "--host", "desk.example", "--path", "/bookings/1"];

interface ToolResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs the command with a text on its standard input. */
function runTool(args: readonly string[], input = ""): Promise<ToolResult> {
  return new Promise((resolve) => {
    const tool = childProcess.execFile(
      process.execPath,
      [TOOL, "explain-placement", ...args],
      (error, out, err) => resolve({ code: Number(error?.code ?? 0), out, err }),
    );
    tool.stdin?.end(input);
  });
}

/** Serves a listener at an address of its own. */
async function withListener(
  listener: http.RequestListener,
  run: (address: string) => Promise<void>,
): Promise<void> {
  const server = http.createServer(listener);
  const address = `127.0.0.1:${await kernelTesting.claimPort()}`;
  await kernel.listen(server, address);
  try {
    await run(address);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

/** Starts a VM whose workspace has a rate, and serves its explanations. */
async function withExplainer(
  run: (address: string, vm: harness.TestVm) => Promise<void>,
  isEnabled = true,
): Promise<void> {
  const declared = harness.createDeclarations(3, {
    workspaces: [{
      id: model.createWorkspaceId("city"),
      keys: ["secret"],
      priority: undefined,
      ratePerSecond: 20,
      burst: 20,
    }],
  });
  await harness.withVm(1, async (vm) => {
    const listener = proxy.createExplanationListener({
      isEnabled: () => isEnabled,
      explain: (query) => vm.explainer.explain(query),
    });
    await withListener(listener, (address) => run(address, vm));
  }, declared);
}

/** Checks that a command failed with one line of a number. */
function assertFailed(result: ToolResult, code: number, row: model.DiagnosticMessage): void {
  assert.deepEqual([result.code, result.out], [code, ""], result.err);
  assert.match(result.err, new RegExp(`^[^\\n]* - HW${row.code} [^\\n]*\\n$`));
}

test.describe("hemlockctl explain-placement", () => {
  test.it("shows another target than the request gets, or sends it", async () => {
    await withExplainer(async (address, vm) => {
      const { code, out, err } = await runTool(
        ["--vm", address, ...REQUEST, "--key-stdin"],
        "secret\n",
      );
      assert.deepEqual([code, err], [0, ""]);
      assert.equal(vm.countRequests(), 0);
      assert.match(out, /^VM vm in north\n/);
      assert.match(out, /\nroute bookings: at most once, objective 500 ms/);
      assert.match(out, /\nworkspace city: rate 20 per s, burst 20, level [^\n]*, admitted/);
      assert.match(out, /\noutcome: sent to target-0( as a probe)?\n/);
      assert.match(out, /\n {2}\* target-0: cost /);
      assert.match(out, /\nhedge: none: not_idempotent\n/);
      assert.equal((await vm.call({ method: "POST" })).status, 200);
      assert.equal(vm.countRequests(), 1);
    });
  });

  test.it("prints more or less than one document with --json, or the key", async () => {
    await withExplainer(async (address, vm) => {
      const args = ["--vm", address, ...REQUEST, "--json"];
      const byName = await runTool([...args, "--workspace", "city", "--deadline", "1500"]);
      assert.deepEqual([byName.code, byName.err], [0, ""]);
      const document = JSON.parse(byName.out) as proxy.PlacementExplanation;
      assert.equal(document.outcome.kind, "placed");
      assert.equal(document.inputs.version, 3);
      const byKey = await runTool([...args, "--key-stdin"], "secret");
      assert.equal(byKey.code, 0, byKey.err);
      const outputs = [byName.out, byKey.out, byKey.err, JSON.stringify(vm.log)];
      assert.ok(outputs.every((text) => !text.includes("secret")));
    });
  });

  test.it("explains something else for an unknown route, workspace or key", async () => {
    await withExplainer(async (address) => {
      const { routeUnknown, workspaceUnknown, keyUnknown } = model.ExplanationDiagnostics;
      const [, , , , , path] = REQUEST;
      const elsewhere = REQUEST.map((text) => text === path ? "/elsewhere" : text);
      assertFailed(await runTool(["--vm", address, ...elsewhere]), 5, routeUnknown);
      const nowhere = ["--vm", address, ...REQUEST, "--workspace", "nowhere"];
      assertFailed(await runTool(nowhere), 5, workspaceUnknown);
      const wrongKey = await runTool(["--vm", address, ...REQUEST, "--key-stdin"], "guessed");
      assertFailed(wrongKey, 5, keyUnknown);
      assert.ok(!wrongKey.err.includes("guessed"));
    });
  });

  test.it("takes malformed options for something that was meant", async () => {
    const { optionInvalid } = model.ExplanationDiagnostics;
    const vm = ["--vm", "127.0.0.1:1"];
    for (
      const args of [
        REQUEST,
        [...vm, ...REQUEST.slice(2)],
        [...vm, ...REQUEST, "--deadline", "soon"],
        [...vm, ...REQUEST, "--deadline"],
        [...vm, ...REQUEST, "--key", "secret"],
        [...vm, ...REQUEST, "secret"],
        [...vm, ...REQUEST, "--workspace", "city", "--key-stdin"],
        [...vm, ...REQUEST.slice(0, 5), "bookings"],
        ["--vm", "http://", ...REQUEST],
      ]
    ) {
      assertFailed(await runTool(args), 2, optionInvalid);
    }
    assertFailed(await runTool([...vm, ...REQUEST, "--key-stdin"], ""), 2, optionInvalid);
  });

  test.it("waits for a VM that does not answer", async () => {
    const { vmUnreachable, answerInvalid } = model.ExplanationDiagnostics;
    const unused = await kernelTesting.claimUnusedAddress();
    assertFailed(await runTool(["--vm", unused, ...REQUEST]), 3, vmUnreachable);
    await withListener(() => {}, async (address) => {
      const startedAt = kernel.getMonotonicMilliseconds();
      assertFailed(await runTool(["--vm", address, ...REQUEST]), 3, vmUnreachable);
      assert.ok(kernel.getMonotonicMilliseconds() - startedAt < 5_000);
    });
    await withListener((_request, response) => response.end("text"), async (address) => {
      assertFailed(await runTool(["--vm", address, ...REQUEST]), 2, answerInvalid);
    });
  });

  test.it("explains on a VM that is starting, or where it is off", async () => {
    const { off, vmStarting } = model.ExplanationDiagnostics;
    await withExplainer(async (address) => {
      assertFailed(await runTool(["--vm", address, ...REQUEST]), 2, off);
    }, false);
    // As a VM of an earlier version does.
    await withListener((_request, response) => response.writeHead(404).end(), async (address) => {
      assertFailed(await runTool(["--vm", address, ...REQUEST]), 2, off);
    });
    const refuse = proxy.createExplanationListener({
      isEnabled: () => true,
      explain: () => neverthrow.err(model.createDiagnostic(vmStarting, [])),
    });
    await withListener(refuse, async (address) => {
      assertFailed(await runTool(["--vm", address, ...REQUEST]), 3, vmStarting);
    });
  });
});

test.describe("the listener of explanations", () => {
  const query = { method: "POST", host: "desk.example", path: "/bookings/1", workspace: "city" };
  const post = async (address: string, text: string, method = "POST") => {
    const response = await fetch(`http://${address}${proxy.EXPLANATION_PATH}`, {
      method,
      ...(method === "POST" ? { body: text } : {}),
    });
    return { status: response.status, text: await response.text() };
  };

  test.it("explains more than 10 in a second, and is busy with it", async () => {
    await withExplainer(async (address) => {
      const statuses = await Promise.all(
        Array.from({ length: 13 }, async () => (await post(address, JSON.stringify(query))).status),
      );
      assert.deepEqual(statuses.toSorted(), [...Array<number>(10).fill(200), 429, 429, 429]);
      await kernel.sleep(1_050);
      assert.equal((await post(address, JSON.stringify(query))).status, 200);
    });
  });

  test.it("guesses what an invalid query means, or repeats it", async () => {
    await withExplainer(async (address) => {
      const invalid = [
        "secret",
        "[]",
        JSON.stringify({ ...query, path: "secret" }),
        JSON.stringify({ ...query, method: "PO ST" }),
        JSON.stringify({ ...query, key: "secret" }),
        JSON.stringify({ ...query, deadlineMilliseconds: -1 }),
        `"${"x".repeat(100_000)}"`,
      ];
      for (const text of invalid) {
        const answer = await post(address, text);
        assert.equal(answer.status, 400, text.slice(0, 80));
        assert.match(answer.text, /^\{"error":\{"code":6003,/);
        assert.ok(!answer.text.includes("secret"));
      }
      assert.equal((await post(address, "", "GET")).status, 400);
    });
  });
});
