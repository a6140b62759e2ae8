/**
 * Requests with an `Idempotency-Key`, with a fake claim store.
 */

import assert from "node:assert/strict";
import type * as http from "node:http";
import * as test from "node:test";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as claims from "@hemlockwalk/claims";
import * as harness from "./harness.ts";

type Settled = "running" | "completed" | "abandoned" | "failed";

interface Entry {
  readonly fingerprint: string;
  settled: Settled;
  answer: claims.StoredAnswer | undefined;
}

/** An in-memory claim store that never expires claims. */
class FakeClaimStore implements claims.ClaimStore {
  readonly entries = new Map<string, Entry>();
  available = true;

  claim(request: claims.ClaimRequest): Promise<claims.ClaimDecision> {
    return Promise.resolve(this.#decide(request));
  }

  #decide(request: claims.ClaimRequest): claims.ClaimDecision {
    if (!this.available) {
      return { kind: "unavailable", retryAfterMilliseconds: 2_000 };
    }
    const name = `${request.workspace}/${request.idempotencyKey}`;
    const entry = this.entries.get(name);
    if (entry === undefined || entry.settled === "abandoned") {
      return this.#grant(name, request.fingerprint);
    }
    if (entry.fingerprint !== request.fingerprint) {
      return { kind: "mismatch" };
    }
    if (entry.settled === "running") {
      return { kind: "running" };
    }
    return entry.answer === undefined
      ? { kind: "unknown" }
      : { kind: "stored", answer: entry.answer };
  }

  #grant(name: string, fingerprint: string): claims.ClaimDecision {
    const entry: Entry = { fingerprint, settled: "running", answer: undefined };
    this.entries.set(name, entry);
    const settle = (settled: Settled, answer?: claims.StoredAnswer) => {
      assert.equal(entry.settled, "running", "A claim is settled once.");
      entry.settled = settled;
      entry.answer = answer;
    };
    return {
      kind: "granted",
      claim: {
        complete: (answer) => settle("completed", answer),
        abandon: () => settle("abandoned"),
        fail: () => settle("failed"),
      },
    };
  }
}

interface Fixture {
  readonly vm: harness.TestVm;
  readonly store: FakeClaimStore;
  readonly open: http.ServerResponse[];
  getRuns(): number;
  send(path: string, body?: string, idempotencyKey?: string): Promise<harness.CallerResult>;
}

async function startFixture(context: test.TestContext): Promise<Fixture> {
  let runs = 0;
  const open: http.ServerResponse[] = [];
  const target = await harness.startTarget((request, response) => {
    request.resume();
    runs++;
    switch (request.url) {
      case "/fines/reset":
        request.socket.resetAndDestroy();
        break;
      case "/fines/wait":
        open.push(response);
        break;
      case "/fines/trailers":
        response.writeHead(200, { trailer: "x-sum" });
        response.write("done");
        response.addTrailers({ "x-sum": "9" });
        response.end();
        break;
      case "/fines/large":
        response.end("x".repeat(70_000));
        break;
      default:
        response.writeHead(201, { location: "/fines/7" }).end("created");
    }
  });
  const store = new FakeClaimStore();
  const vm = await harness.startVm({ targets: [target.address], claimStore: store });
  context.after(async () => {
    await vm.services.stop();
    await target.stop();
  });
  return {
    vm,
    store,
    open,
    getRuns: () => runs,
    send: (path, body = "fine", idempotencyKey = "one") =>
      harness.call(vm.port, {
        method: "POST",
        path,
        body,
        headers: { "idempotency-key": idempotencyKey },
      }),
  };
}

test.describe("idempotency keys", () => {
  test.it("return the stored response to a repeat without a second run", async (context) => {
    const fixture = await startFixture(context);
    const first = await fixture.send("/fines");
    const second = await fixture.send("/fines");
    for (const answer of [first, second]) {
      assert.deepEqual(
        [answer.status, answer.headers.location, answer.body],
        [201, "/fines/7", "created"],
      );
    }
    assert.equal(fixture.getRuns(), 1);
    const other = await fixture.send("/fines", "another fine");
    assert.deepEqual([other.status, harness.getReason(other)], [422, "idempotency_mismatch"]);
    assert.equal(other.headers["hemlockwalk-run"], "no");
  });

  test.it("return the stored response without the trailers of the first one", async (context) => {
    const fixture = await startFixture(context);
    const first = await fixture.send("/fines/trailers");
    assert.deepEqual([first.body, { ...first.trailers }], ["done", { "x-sum": "9" }]);
    const second = await fixture.send("/fines/trailers");
    assert.deepEqual([second.status, second.body], [200, "done"]);
    assert.equal(fixture.getRuns(), 1);
  });

  test.it("refuse a repeat while the first runs or if its response is unknown", async (context) => {
    const fixture = await startFixture(context);
    const first = fixture.send("/fines/wait");
    await harness.waitFor(() => fixture.open.length === 1);
    const repeat = await fixture.send("/fines/wait");
    assert.deepEqual([repeat.status, harness.getReason(repeat)], [409, "idempotency_running"]);
    assert.equal(repeat.headers["hemlockwalk-run"], "unknown");
    assert.equal(repeat.headers["retry-after"], "1");
    fixture.open[0]?.end("done");
    assert.equal((await first).body, "done");
    assert.equal((await fixture.send("/fines/wait")).body, "done");

    for (const path of ["/fines/reset", "/fines/large"]) {
      await fixture.send(path, "fine", path);
      const again = await fixture.send(path, "fine", path);
      assert.equal(harness.getReason(again), "idempotency_unknown");
    }
    assert.equal(fixture.getRuns(), 3);
  });

  test.it("can be claimed again if the request provably did not run", async (context) => {
    const fixture = await startFixture(context);
    const declaration = { targets: [await kernelTesting.claimUnusedAddress()] };
    fixture.vm.configuration.publish(declaration);
    const refused = await fixture.send("/fines");
    assert.equal(refused.headers["hemlockwalk-run"], "no");
    assert.equal(fixture.store.entries.get("antwerp/one")?.settled, "abandoned");
  });

  test.it("are refused as not run without a majority or a complete body", async (context) => {
    const fixture = await startFixture(context);
    const large = await fixture.send("/fines", "x".repeat(70_000));
    assert.equal(harness.getReason(large), "idempotency_body_too_large");
    const wrong = await fixture.send("/fines", "fine", "two words");
    assert.equal(harness.getReason(wrong), "idempotency_key_invalid");
    fixture.store.available = false;
    const refused = await fixture.send("/fines");
    assert.deepEqual([refused.status, refused.headers["retry-after"]], [503, "2"]);
    for (const answer of [large, wrong, refused]) {
      assert.equal(answer.headers["hemlockwalk-run"], "no");
    }
    assert.equal(fixture.getRuns(), 0);
  });

  test.it("of requests that are ended while they run have an unknown outcome", async (context) => {
    const fixture = await startFixture(context);
    void harness.sendRaw(fixture.vm.port, [
      `POST /fines/wait HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n` +
      "Idempotency-Key: ended\r\nContent-Length: 0\r\n\r\n",
    ], () => true);
    await harness.waitFor(() => fixture.open.length === 1);
    fixture.vm.configuration.publish({ targets: [], keys: {} });
    await harness.waitFor(() => fixture.store.entries.get("antwerp/ended")?.settled === "failed");
  });
});
