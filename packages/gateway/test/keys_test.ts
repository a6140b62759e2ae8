/**
 * No key reaches a target, whatever combination of places in a request contains it.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fc from "fast-check";
import * as harness from "./harness.ts";

const SEED = 20_260_301;

/** A place in a request that contains the key: header lines or a part of the query. */
interface Placement {
  readonly header?: string;
  readonly query?: string;
}

function encodeFully(text: string): string {
  return [...text].map((letter) => `%${letter.charCodeAt(0).toString(16)}`).join("");
}

function encodeBase64(text: string): string {
  return Buffer.from(text).toString("base64");
}

function createPlacements(key: string): readonly Placement[] {
  return [
    { header: `Authorization: Bearer ${key}` },
    { header: `AUTHORIZATION: bearer  ${key}` },
    { header: `Authorization: Basic ${encodeBase64(`user:${key}`)}` },
    { header: `Authorization: Basic ${encodeBase64(`${key}:`)}` },
    { header: `Proxy-Authorization: Bearer ${key}` },
    { header: `Proxy-Authorization: Basic ${encodeBase64(`user:${key}`)}` },
    { header: `hemlockwalk-key: ${key}` },
    { header: `HEMLOCKWALK-Key: ${key}` },
    { header: `Hemlockwalk_Key: ${key}` },
    { header: `Cookie: a=1; session=${key}; b=2` },
    { header: `Cookie: session="${key}"` },
    { header: `Cookie: other=${key}` },
    { header: `Referer: http://city.example/x?key=${key}&a=1` },
    { header: `Referer: http://city.example/x?a=1&%6bey=${encodeFully(key)}` },
    { header: `X-Api-Key: ${key}` },
    { header: `X-Note: %${key.charCodeAt(0).toString(16)}${key.slice(1)}` },
    { header: `Connection: keep-alive, Authorization, Hemlockwalk-Key, X-Listed\r\nX-Listed: 1` },
    { query: `key=${key}` },
    { query: `KEY=${key}` },
    { query: `%6b%65%79=${key}` },
    { query: `key=${encodeFully(key)}` },
  ];
}

test.describe("keys", () => {
  test.it("never reach a target, whatever combination of places contains them", async (context) => {
    const seen: string[] = [];
    const target = await harness.startTarget((request, response) => {
      request.resume();
      request.on("end", () => {
        const trailers = request.rawTrailers.join("\n");
        seen.push([request.url ?? "", ...request.rawHeaders, trailers].join("\n"));
        response.end();
      });
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const placements = createPlacements(harness.KEY);
    let served = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.subarray([...placements], { minLength: 1, maxLength: 6 }),
        fc.boolean(),
        async (chosen, chunked) => {
          const query = chosen.flatMap((placement) => placement.query ?? []);
          const lines = chosen.flatMap((placement) => placement.header ?? []);
          const body = chunked
            ? `Transfer-Encoding: chunked\r\n\r\n0\r\nHemlockwalk-Key: ${harness.KEY}\r\n\r\n`
            : "\r\n";
          const answer = await harness.sendRaw(
            vm.port,
            [
              `POST /fines?q=1&${query.join("&")}&z=2 HTTP/1.1\r\nHost: city.example\r\n` +
              lines.map((line) => `${line}\r\n`).join("") + body,
            ],
            (text) => /\r\n\r\n/.test(text),
          );
          served += answer.text.startsWith("HTTP/1.1 200") ? 1 : 0;
          const leaked = seen.splice(0).find((text) => {
            const credentials = [harness.KEY, encodeBase64(`user:${harness.KEY}`)];
            return [text, decodeURIComponent(text)].some((form) =>
              credentials.some((credential) => form.includes(credential))
            );
          });
          assert.equal(leaked, undefined);
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
    assert.ok(served > 100, `Only ${served} combinations were served.`);
  });

  test.it("are removed from query and cookies; identity headers are replaced", async (context) => {
    let seen: Record<string, unknown> = {};
    let url: string | undefined;
    const target = await harness.startTarget((request, response) => {
      seen = request.headers;
      url = request.url;
      response.setHeader("hemlockwalk-run", "no");
      response.end();
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const answer = await harness.call(vm.port, {
      path: `/fines?a=b;c&key=${harness.KEY}&d=%20`,
      headers: {
        "hemlockwalk-workspace": "ghent",
        "hemlockwalk_workspace": "ghent",
        "x-forwarded-for": "10.9.9.9",
        "cookie": `a=1; session=${harness.KEY}; b=2`,
        "hemlockwalk-timeout-milliseconds": "700",
      },
    });
    assert.equal(answer.headers["hemlockwalk-run"], undefined);
    assert.equal(seen["hemlockwalk-workspace"], "antwerp");
    assert.equal(seen["hemlockwalk_workspace"], undefined);
    assert.equal(seen["x-forwarded-for"], "127.0.0.1");
    assert.equal(seen["cookie"], "a=1; b=2");
    assert.ok(Number(seen["hemlockwalk-timeout-milliseconds"]) <= 700);
    assert.equal(url, "/fines?a=b;c&d=%20");
  });
});
