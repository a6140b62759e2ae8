/**
 * Requests that are refused before they reach a target.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fc from "fast-check";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as harness from "./harness.ts";

const SEED = 20_260_304;

const HEAD = `Host: city.example\r\nAuthorization: Bearer ${harness.KEY}\r\n`;

/** Malformed or ambiguous requests, with the reason of their refusal. */
const REFUSED: readonly (readonly [name: string, request: string, reason: string])[] = [
  [
    "length and chunks",
    `POST /fines HTTP/1.1\r\n${HEAD}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    "malformed_request",
  ],
  [
    "chunks and length",
    `POST /fines HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n`,
    "malformed_request",
  ],
  [
    "two lengths",
    `POST /fines HTTP/1.1\r\n${HEAD}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab`,
    "malformed_request",
  ],
  [
    "the same length twice",
    `POST /fines HTTP/1.1\r\n${HEAD}Content-Length: 1\r\nContent-Length: 1\r\n\r\na`,
    "malformed_request",
  ],
  [
    "a list of lengths",
    `POST /fines HTTP/1.1\r\n${HEAD}Content-Length: 1, 1\r\n\r\na`,
    "malformed_request",
  ],
  [
    "a signed length",
    `POST /fines HTTP/1.1\r\n${HEAD}Content-Length: +1\r\n\r\na`,
    "malformed_request",
  ],
  [
    "another transfer encoding",
    `POST /fines HTTP/1.1\r\n${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    "malformed_request",
  ],
  [
    "a disguised transfer encoding",
    `POST /fines HTTP/1.1\r\n${HEAD}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n`,
    "malformed_request",
  ],
  [
    "two transfer encodings",
    `POST /fines HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n`,
    "malformed_request",
  ],
  [
    "chunks in HTTP/1.0",
    `POST /fines HTTP/1.0\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    "malformed_request",
  ],
  ["a folded header", `GET /fines HTTP/1.1\r\n${HEAD}X-A: 1\r\n 2\r\n\r\n`, "malformed_request"],
  ["a bare line feed", `GET /fines HTTP/1.1\n${HEAD}\r\n\r\n`, "malformed_request"],
  ["a NUL in a header", `GET /fines HTTP/1.1\r\n${HEAD}X-A: \0\r\n\r\n`, "malformed_request"],
  ["two hosts", `GET /fines HTTP/1.1\r\n${HEAD}Host: b.example\r\n\r\n`, "malformed_request"],
  [
    "no host",
    `GET /fines HTTP/1.1\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
    "malformed_request",
  ],
  ["a host with a path", "GET / HTTP/1.1\r\nHost: city.example/fines\r\n\r\n", "malformed_request"],
  [
    "an absolute target",
    `GET http://city.example/fines HTTP/1.1\r\n${HEAD}\r\n`,
    "malformed_request",
  ],
  ["an asterisk", `OPTIONS * HTTP/1.1\r\n${HEAD}\r\n`, "malformed_request"],
  ["a fragment", `GET /fines#a HTTP/1.1\r\n${HEAD}\r\n`, "malformed_request"],
  ["a backslash", `GET /fines\\..\\open HTTP/1.1\r\n${HEAD}\r\n`, "malformed_request"],
  ["CONNECT", `CONNECT city.example:443 HTTP/1.1\r\n${HEAD}\r\n`, "method_not_supported"],
  ["dots", `GET /fines/../open HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["encoded dots", `GET /fines/%2e%2E/open HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["half encoded dots", `GET /fines/.%2e/open HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["twice encoded dots", `GET /fines/%252e%252e/open HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["dots with parameter", `GET /fines/..;a/open HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["dots at the end", `GET /fines/.. HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["an encoded slash", `GET /fines%2Fopen HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["an encoded backslash", `GET /fines%5copen HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["an encoded NUL", `GET /fines%00 HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["an empty segment", `GET /fines//open HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["a broken escape", `GET /fines/%zz HTTP/1.1\r\n${HEAD}\r\n`, "ambiguous_path"],
  ["a long target", `GET /fines/${"a".repeat(9_000)} HTTP/1.1\r\n${HEAD}\r\n`, "target_too_long"],
  [
    "large headers",
    `GET /fines HTTP/1.1\r\n${HEAD}X-A: ${"a".repeat(20_000)}\r\n\r\n`,
    "headers_too_large",
  ],
  [
    "a large body",
    `POST /fines HTTP/1.1\r\n${HEAD}Content-Length: 200001\r\n\r\n`,
    "body_too_large",
  ],
  [
    "a large body in chunks",
    `POST /fines HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n` +
    `C350\r\n${"a".repeat(50_000)}\r\n`.repeat(5) + "0\r\n\r\n",
    "body_too_large",
  ],
  [
    "an upgrade",
    `GET /fines HTTP/1.1\r\n${HEAD}Connection: upgrade\r\nUpgrade: websocket\r\n\r\n`,
    "upgrade_not_supported",
  ],
  ["another expectation", `GET /fines HTTP/1.1\r\n${HEAD}Expect: x\r\n\r\n`, "expectation_failed"],
  [
    "a blank in a header's name",
    `GET /fines HTTP/1.1\r\n${HEAD}X Part: 1\r\n\r\n`,
    "malformed_request",
  ],
  [
    "a header without a name",
    `GET /fines HTTP/1.1\r\n${HEAD}: 1\r\n\r\n`,
    "malformed_request",
  ],
  [
    "two keys",
    `GET /fines HTTP/1.1\r\n${HEAD}Hemlockwalk-Key: ${harness.OTHER_KEY}\r\n\r\n`,
    "key_conflict",
  ],
  [
    "a key in the path",
    `GET /fines/${harness.KEY} HTTP/1.1\r\n${HEAD}\r\n`,
    "key_misplaced",
  ],
];

test.describe("refuses without running it", { concurrency: 1 }, () => {
  let runs = 0;
  let target: Awaited<ReturnType<typeof harness.startTarget>>;
  let vm: Awaited<ReturnType<typeof harness.startVm>>;

  test.before(async () => {
    target = await harness.startTarget((request, response) => {
      // Streaming of a large chunked body begins before the gateway detects that it is too large.
      request.on("end", () => runs++);
      request.resume();
      response.end();
    });
    vm = await harness.startVm({
      targets: [target.address],
      route: { bodyLimitBytes: 200_000 },
    });
  });

  test.after(async () => {
    await vm.services.stop();
    await target.stop();
  });

  for (const [name, request, reason] of REFUSED) {
    test.it(name, async () => {
      const runsBefore = runs;
      const answer = await harness.sendRaw(
        vm.port,
        [request],
        (text) => text.includes(`"run"`),
      );
      const body = answer.text.slice(answer.text.indexOf("\r\n\r\n") + 4);
      assert.notEqual(body, "", answer.text);
      assert.equal(harness.getReason({ body }), reason);
      assert.equal(await vm.getCount("hemlockwalk_refusals_total", { reason }) > 0, true);
      assert.equal(runs, runsBefore);
    });
  }
});

test.describe("request checks", () => {
  test.it("routes by the path that the target sees and forwards it unchanged", async (context) => {
    const seen: (string | undefined)[] = [];
    const target = await harness.startTarget((request, response) => {
      seen.push(request.url);
      response.end();
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const paths = ["/%66ines/%C3%A9?a=%2F..%2f", "/fines/a.b/..c;x=1/", "/fines?/../"];
    for (const path of paths) {
      assert.equal((await harness.call(vm.port, { path })).status, 200, path);
    }
    assert.deepEqual(seen, paths);
    assert.equal((await harness.call(vm.port, { path: "/%46ines" })).status, 404);
  });

  test.it("forwards no request that is smuggled in the body of another", async (context) => {
    const seen: (string | undefined)[] = [];
    const target = await harness.startTarget((request, response) => {
      seen.push(request.url);
      request.resume();
      request.on("end", () => response.end("ok"));
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const inner = "GET /fines/inner HTTP/1.1\r\nHost: a\r\nhemlockwalk-workspace: ghent\r\n\r\n";
    const bodies = [
      inner,
      `0\r\n\r\n${inner}`,
      `${inner.length.toString(16)}\r\n${inner}\r\n0\r\n\r\n`,
    ];
    const framings = [
      ...bodies.map((body) => `Content-Length: ${body.length}`),
      "Content-Length: 0",
      "Content-Length: 5",
      "Content-Length: 0x5",
      "Content_Length: 5",
      "Content-Length : 5",
      "Transfer-Encoding: chunked",
      "Transfer-Encoding: Chunked",
      "Transfer-Encoding:\tchunked",
      "Transfer-Encoding: xchunked",
      "Transfer-Encoding: chunked, identity",
      "Transfer-Encoding: identity",
      "Transfer_Encoding: chunked",
      "X: y\r\n Transfer-Encoding: chunked",
      "X: y\rTransfer-Encoding: chunked",
      "X: y\nTransfer-Encoding: chunked",
      "Connection: Transfer-Encoding",
      "Connection: close, Content-Length",
      "Expect: 100-continue",
    ];
    let outer = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.shuffledSubarray(framings, { maxLength: 3 }),
        fc.constantFrom(...bodies),
        fc.constantFrom("POST", "GET", "DELETE"),
        async (lines, body, method) => {
          const request = `${method} /fines/outer HTTP/1.1\r\n${HEAD}${
            lines.map((line) => `${line}\r\n`).join("")
          }\r\n${body}`;
          // The last request ends the connection if no earlier refusal has.
          const last = `GET /fines/last HTTP/1.1\r\n${HEAD}Connection: close\r\n\r\n`;
          await harness.sendRaw(vm.port, [request, last], () => false, true);
          // A further request on the same target connections would expose bytes left on them.
          await harness.call(vm.port, { path: "/fines/next" });
          const paths = seen.splice(0);
          assert.deepEqual(paths.filter((path) => path === "/fines/inner"), []);
          assert.equal(paths.at(-1), "/fines/next");
          outer += paths.includes("/fines/outer") ? 1 : 0;
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
    assert.ok(outer > 30, `Only ${outer} outer requests were forwarded.`);
  });

  test.it("refuses slow senders of headers and bodies", async (context) => {
    const vm = await harness.startVm({
      targets: [await kernelTesting.claimUnusedAddress()],
      listener: { headerTimeoutMilliseconds: 100, bodyIdleTimeoutMilliseconds: 100 },
    });
    context.after(() => vm.services.stop());
    const slowHeader = await harness.sendRaw(vm.port, ["GET /fines HTTP/1.1\r\nHo"]);
    assert.match(slowHeader.text, /^HTTP\/1.1 408 .*request_too_slow.*"run":"no"/s);
    const slowBody = await harness.sendRaw(
      vm.port,
      [`POST /fines HTTP/1.1\r\n${HEAD}Content-Length: 9\r\nConnection: close\r\n\r\nab`],
      (text) => text.includes("run"),
    );
    assert.match(slowBody.text, /^HTTP\/1.1 408 .*request_too_slow.*"run":"no"/s);
  });

  test.it("answers the requests that precede unparsable input", async (context) => {
    const target = await harness.startTarget((_request, response) => {
      setTimeout(() => response.end("first"), 20);
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const answer = await harness.sendRaw(vm.port, [
      `GET /fines HTTP/1.1\r\n${HEAD}\r\n`,
      "nonsense\r\n\r\n",
    ]);
    assert.match(answer.text, /^HTTP\/1.1 200 .*first.*HTTP\/1.1 400 .*malformed_request/s);
  });
});
