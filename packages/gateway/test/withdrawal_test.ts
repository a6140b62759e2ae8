/**
 * The withdrawal of a key ends its requests and connections, and no others.
 */

import assert from "node:assert/strict";
import * as http from "node:http";
import * as test from "node:test";
import * as neverthrow from "neverthrow";
import * as harness from "./harness.ts";

interface Fixture {
  readonly vm: harness.TestVm;
  readonly declaration: harness.Declaration;
  readonly workspaces: (string | string[] | undefined)[];
  /** Responses that the target has not ended. */
  readonly open: http.ServerResponse[];
}

async function startFixture(
  context: test.TestContext,
  service: harness.Declaration["service"] = {},
): Promise<Fixture> {
  const open: http.ServerResponse[] = [];
  const workspaces: (string | string[] | undefined)[] = [];
  const target = await harness.startTarget((request, response) => {
    workspaces.push(request.headers["hemlockwalk-workspace"]);
    if (request.url === "/fines/stream") {
      response.write("begun");
      open.push(response);
    } else if (request.url === "/fines/wait") {
      open.push(response);
    } else {
      response.end("done");
    }
  });
  const declaration = { targets: [target.address], service };
  const vm = await harness.startVm(declaration);
  context.after(async () => {
    open.forEach((response) => response.end());
    await vm.services.stop();
    await target.stop();
  });
  return { vm, declaration, workspaces, open };
}

function publishKeys(fixture: Fixture, keys: Readonly<Record<string, string>>): void {
  fixture.vm.configuration.publish({ ...fixture.declaration, keys });
}

const WITHOUT_KEY = { [harness.OTHER_KEY]: "ghent" };

test.describe("key withdrawal", () => {
  test.it("ends waiting requests and running streams of that key only", async (context) => {
    const fixture = await startFixture(context);
    const { vm, open } = fixture;
    const waiting = harness.call(vm.port, { path: "/fines/wait" });
    // The connection may be reset before the other request has its response.
    const cut = assert.rejects(harness.call(vm.port, { path: "/fines/stream" }));
    const other = harness.call(vm.port, { path: "/fines/stream", key: harness.OTHER_KEY });
    await harness.waitFor(() => open.length === 3);
    publishKeys(fixture, WITHOUT_KEY);
    const refused = await waiting;
    assert.equal(harness.getReason(refused), "key_withdrawn");
    // The target has received the request, so it may have run.
    assert.equal(refused.headers["hemlockwalk-run"], "unknown");
    await cut;
    open.forEach((response) => response.end(" ended"));
    assert.equal((await other).body, "begun ended");
    assert.equal(harness.getReason(await harness.call(vm.port)), "key_unknown");
  });

  test.it("ends requests that wait for a slot as not run", async (context) => {
    const fixture = await startFixture(context, { slots: 1 });
    const { vm, open } = fixture;
    const other = harness.call(vm.port, { path: "/fines/wait", key: harness.OTHER_KEY });
    await harness.waitFor(() => open.length === 1);
    const waiting = harness.call(vm.port);
    await harness.waitFor(async () => await vm.getCount("hemlockwalk_running_requests") === 2);
    publishKeys(fixture, WITHOUT_KEY);
    const refused = await waiting;
    assert.equal(harness.getReason(refused), "key_withdrawn");
    assert.equal(refused.headers["hemlockwalk-run"], "no");
    open[0]?.end("done");
    assert.equal((await other).body, "done");
    assert.deepEqual(fixture.workspaces, ["ghent"]);
  });

  test.it("closes idle connections that used the key", async (context) => {
    const fixture = await startFixture(context);
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    context.after(() => agent.destroy());
    await harness.call(fixture.vm.port, { agent });
    const [socket] = Object.values(agent.freeSockets).flat();
    assert.ok(socket !== undefined);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    publishKeys(fixture, WITHOUT_KEY);
    await closed;
  });

  test.it("completes another key's response before closing the connection", async (context) => {
    const fixture = await startFixture(context);
    const { vm, open } = fixture;
    const getHead = (path: string, key: string) =>
      `GET ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${key}\r\n\r\n`;
    const answer = harness.sendRaw(vm.port, [
      getHead("/fines/a", harness.KEY),
      getHead("/fines/stream", harness.OTHER_KEY),
    ]);
    await harness.waitFor(() => open.length === 1);
    publishKeys(fixture, WITHOUT_KEY);
    open[0]?.end(" ended");
    // `sendRaw` resolves when the connection ends.
    const { text } = await answer;
    assert.match(text, /done.*begun.*ended\r\n0\r\n\r\n$/s);
  });

  test.it("refuses a request whose key moved while it waited for a token", async (context) => {
    const fixture = await startFixture(context);
    let admit: (() => void) | undefined;
    fixture.vm.limiter.decide = () =>
      new Promise((resolve) => {
        admit = () => resolve(neverthrow.ok());
      });
    const moved = harness.call(fixture.vm.port);
    await harness.waitFor(() => admit !== undefined);
    publishKeys(fixture, { ...WITHOUT_KEY, [harness.KEY]: "ghent" });
    admit?.();
    const refused = await moved;
    assert.equal(harness.getReason(refused), "key_withdrawn");
    assert.equal(refused.headers["hemlockwalk-run"], "no");
    fixture.vm.limiter.decide = () => neverthrow.ok();
    await harness.call(fixture.vm.port);
    assert.deepEqual(fixture.workspaces, ["ghent"]);
  });
});
