/**
 * Responses never reach the wrong caller, and a truncated response never ends like a complete one.
 */

import assert from "node:assert/strict";
import * as net from "node:net";
import * as test from "node:test";
import * as fc from "fast-check";
import * as harness from "./harness.ts";

const SEED = 20_260_302;

type Framing = "length" | "chunked";

/** How a target responds to one request. */
interface Script {
  readonly framing: Framing;
  readonly size: number;
  /** Lengths of the writes into which the response is split, used cyclically. */
  readonly pieces: readonly number[];
  /** Event loop iterations before the first write. */
  readonly delay: number;
  /** Share of the response that is sent before the connection ends; undefined for all of it. */
  readonly cutAfter: number | undefined;
}

/** One letter for each response; none is a hexadecimal digit, as chunk lengths contain. */
const BODY_LETTERS = "GHIJKLMN";

const HTTP_1_0_REQUEST = `GET /fines HTTP/1.0\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`;

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

function createBody(index: number, size: number): string {
  return BODY_LETTERS.charAt(index).repeat(size);
}

function createAnswer(index: number, script: Script): string {
  const body = createBody(index, script.size);
  const head = `HTTP/1.1 200 OK\r\nx-index: ${index}\r\n`;
  switch (script.framing) {
    case "length":
      return `${head}content-length: ${body.length}\r\n\r\n${body}`;
    case "chunked": {
      const half = Math.ceil(body.length / 2);
      const chunks = [body.slice(0, half), body.slice(half)].filter((chunk) => chunk !== "");
      const text = chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join("");
      return `${head}transfer-encoding: chunked\r\n\r\n${text}0\r\n\r\n`;
    }
    default:
      throw new Error("unreachable");
  }
}

async function waitTurns(times: number): Promise<void> {
  for (let count = 0; count < times; count++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function runScript(socket: net.Socket, index: number, script: Script): Promise<void> {
  const whole = createAnswer(index, script);
  const end = script.cutAfter === undefined
    ? whole.length
    // At least the last byte is missing.
    : Math.min(whole.length - 1, Math.floor(whole.length * script.cutAfter));
  await waitTurns(script.delay);
  let from = 0;
  for (let piece = 0; from < end; piece++) {
    const length = script.pieces[piece % script.pieces.length] ?? 1;
    socket.write(whole.slice(from, Math.min(end, from + length)));
    from += length;
    await waitTurns(1);
  }
  if (script.cutAfter !== undefined) {
    // Alternates an orderly close, as from a crashing process, and a reset.
    if (index % 2 === 0) {
      socket.end();
    } else {
      socket.resetAndDestroy();
    }
  }
}

/** Starts a target that runs the script whose index ends the request's path. */
function startScriptedTarget(getScript: (index: number) => Script): Promise<harness.TestServer> {
  return harness.startRawTarget((socket) => {
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const match = /^GET \/fines\/(\d+) .*?\r\n\r\n/s.exec(text);
      if (match !== null) {
        text = text.slice(match[0].length);
        const index = Number(match[1]);
        void runScript(socket, index, getScript(index));
      }
    });
  });
}

const script: fc.Arbitrary<Script> = fc.record({
  framing: fc.constantFrom<Framing>("length", "chunked"),
  size: fc.oneof(fc.integer({ min: 3, max: 60 }), fc.integer({ min: 3, max: 20_000 })),
  pieces: fc.array(fc.oneof(fc.integer({ min: 40, max: 90 }), fc.constant(8_192)), {
    minLength: 1,
    maxLength: 3,
  }),
  delay: fc.integer({ min: 0, max: 5 }),
  cutAfter: fc.option(fc.double({ min: 0.5, max: 1, noNaN: true }), { nil: undefined, freq: 3 }),
});

function checkComplete(scripts: readonly Script[], index: number, body: string): void {
  const expected = scripts[index];
  assert.ok(
    expected !== undefined && expected.cutAfter === undefined,
    "A truncated response ended normally.",
  );
  assert.equal(body, createBody(index, expected.size));
}

test.describe("answers", () => {
  test.it("reach only their own caller; truncated ones don't end normally", async (context) => {
    let scripts: readonly Script[] = [];
    const target = await startScriptedTarget((index) => scripts[index] as Script);
    // Retries are disabled so that the caller sees each truncated response.
    const vm = await harness.startVm({
      targets: [target.address],
      route: { idempotentMethods: [] },
    });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    let complete = 0;
    let cut = 0;
    await fc.assert(
      fc.asyncProperty(fc.array(script, { minLength: 1, maxLength: 8 }), async (drawn) => {
        scripts = drawn;
        const results = await Promise.allSettled(
          drawn.map((_, index) => harness.call(vm.port, { path: `/fines/${index}` })),
        );
        results.forEach((result, index) => {
          if (result.status === "rejected") {
            cut++;
            assert.notEqual(scripts[index]?.cutAfter, undefined, String(result.reason));
          } else if (result.value.status === 502) {
            // The connection ended before the headers were complete.
            assert.notEqual(scripts[index]?.cutAfter, undefined);
          } else {
            complete++;
            checkComplete(scripts, index, result.value.body);
          }
        });
      }),
      { seed: SEED, numRuns: 150 },
    );
    assert.ok(complete > 100 && cut > 50, `${complete} complete, ${cut} cut`);
  });

  test.it("reach a caller that pipelines its requests complete and in order", async (context) => {
    let scripts: readonly Script[] = [];
    const target = await startScriptedTarget((index) => scripts[index] as Script);
    const vm = await harness.startVm({
      targets: [target.address],
      route: { idempotentMethods: [] },
    });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const whole = script.map((drawn) => ({ ...drawn, cutAfter: undefined }));
    await fc.assert(
      fc.asyncProperty(
        fc.array(whole, { minLength: 1, maxLength: 6 }),
        fc.integer({ min: 1, max: 200 }),
        async (drawn, pieceLength) => {
          scripts = drawn;
          const requests = drawn.map((_, index) =>
            `GET /fines/${index} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n` +
            `${index === drawn.length - 1 ? "Connection: close\r\n" : ""}\r\n`
          ).join("");
          const pieces = requests.match(new RegExp(`[^]{1,${pieceLength}}`, "g")) ?? [];
          const { text } = await harness.sendRaw(vm.port, pieces);
          const parts = text.split(/(?=HTTP\/1\.1 200 OK\r\n)/);
          assert.equal(parts.length, drawn.length, text);
          parts.forEach((part, index) => {
            assert.match(part, new RegExp(`x-index: ${index}\r\n`));
            const marks = part.slice(part.indexOf("\r\n\r\n")).replace(/[^G-N]/g, "");
            assert.equal(marks, createBody(index, drawn[index]?.size ?? 0));
          });
        },
      ),
      { seed: SEED, numRuns: 100 },
    );
  });

  // The caller of HTTP/1.0 reads until the close, which also comes when the VM stops or is killed.
  test.it("of unknown length reach a caller of HTTP/1.0 before their length is known", async (context) => {
    let endAnswer = (): void => assert.fail("The target has no request.");
    const target = await harness.startRawTarget((socket) => {
      socket.once("data", () => {
        socket.write(`${CHUNKED_HEAD}4\r\nhalf\r\n`);
        endAnswer = () => socket.end("6\r\n whole\r\n0\r\n\r\n");
      });
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const caller = net.connect(vm.port, "127.0.0.1");
    context.after(() => caller.destroy());
    let text = "";
    caller.on("data", (chunk) => text += chunk.toString("latin1"));
    caller.write(HTTP_1_0_REQUEST);
    await harness.waitFor(async () => await vm.getCount("hemlockwalk_running_requests") === 1);
    // Longer than the first part needs to pass through the VM.
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.equal(text, "");
    endAnswer();
    await harness.waitFor(() => text.endsWith("half whole"));
    assert.match(text, /\r\ncontent-length: 10\r\n/);
  });

  const unsendable = {
    "truncated": { body: "4\r\nhalf\r\n", reason: "target_reset" },
    "longer than a VM keeps": {
      body: `100000\r\n${"x".repeat(0x100000)}\r\n0\r\n\r\n`,
      reason: "answer_unframed",
    },
  };
  for (const [what, { body, reason }] of Object.entries(unsendable)) {
    test.it(`of unknown length and ${what} look complete to a caller of HTTP/1.0`, async (context) => {
      const target = await harness.startRawTarget((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => socket.end(CHUNKED_HEAD + body));
      });
      const vm = await harness.startVm({ targets: [target.address] });
      context.after(async () => {
        await vm.services.stop();
        await target.stop();
      });
      const answer = await harness.sendRaw(vm.port, [HTTP_1_0_REQUEST]);
      assert.match(answer.text, /^HTTP\/1\.1 502 /);
      assert.ok(answer.text.includes(reason), answer.text);
      assert.match(answer.text, /\r\ncontent-length: [1-9]/i);
    });
  }

  test.it("never follow a request body that the caller did not complete", async (context) => {
    let begun = 0;
    let ends = 0;
    let cuts = 0;
    const target = await harness.startTarget((request) => {
      begun++;
      request.on("end", () => ends++);
      request.on("error", () => cuts++);
      request.resume();
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const head = `POST /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n`;
    const part = Buffer.alloc(100_000);
    const framings = [
      "Content-Length: 300000\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n186a0\r\n",
    ];
    for (const framing of framings) {
      const before = begun;
      const socket = net.connect(vm.port, "127.0.0.1");
      socket.on("error", () => {});
      socket.write(head + framing);
      socket.write(part);
      await harness.waitFor(() => begun > before);
      // An orderly close in the middle of the body, as from a crashing process.
      socket.end();
      await harness.waitFor(() => cuts === begun);
      await harness.waitFor(async () => await vm.getCount("hemlockwalk_running_requests") === 0);
    }
    assert.equal(ends, 0);
    assert.equal(await vm.getCount("hemlockwalk_refusals_total"), 0);
  });

  test.it("that arrive twice or late reach no other caller", async (context) => {
    const target = await harness.startRawTarget((socket) => {
      socket.on("data", (chunk) => {
        const index = /fines\/(\d+)/.exec(chunk.toString("latin1"))?.[1] ?? "";
        const whole = `HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n<${index}>`;
        switch (Number(index) % 3) {
          case 0:
            socket.write(whole + whole);
            break;
          case 1:
            socket.write(whole);
            setTimeout(() => socket.write(whole), 5);
            break;
          default:
            setTimeout(() => socket.write(whole), 60);
        }
      });
    });
    const vm = await harness.startVm({
      targets: [target.address],
      route: { timeoutMilliseconds: 40, idempotentMethods: ["GET"] },
    });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    for (let index = 0; index < 9; index++) {
      const answer = await harness.call(vm.port, { path: `/fines/${index}` });
      if (index % 3 === 2) {
        assert.equal(harness.getReason(answer), "deadline_exceeded");
      } else {
        assert.equal(answer.body, `<${index}>`);
      }
      await new Promise((resolve) => setTimeout(resolve, 15));
    }
  });

  // The caller of a response that broke off would get it as a complete one.
  for (const header of ["", "transfer-encoding: gzip\r\n"]) {
    const what = header === "" ? "" : " by a coding other than chunked";
    test.it(`without a defined length${what} are refused`, async (context) => {
      const target = await harness.startRawTarget((socket) => {
        socket.once("data", () => socket.end(`HTTP/1.1 200 OK\r\n${header}\r\nperhaps half`));
      });
      const vm = await harness.startVm({ targets: [target.address] });
      context.after(async () => {
        await vm.services.stop();
        await target.stop();
      });
      const answer = await harness.call(vm.port);
      assert.equal(harness.getReason(answer), "answer_unframed");
      assert.equal(answer.headers["hemlockwalk-run"], "unknown");
    });
  }

  test.it("to HEAD, with 204 or 304, early hints or trailers are preserved", async (context) => {
    const target = await harness.startTarget((request, response) => {
      if (request.method === "HEAD") {
        response.writeHead(200, { "content-length": "12" }).end();
      } else if (request.url === "/fines/trailers") {
        response.writeEarlyHints({ link: "</a>; rel=preload" });
        response.writeHead(200, { trailer: "digest", "hemlockwalk-run": "no" });
        response.write("body");
        response.addTrailers({ "digest": "abc", "hemlockwalk-run": "no" });
        response.end();
      } else {
        response.writeHead(Number(request.url?.slice(7)), { etag: '"1"' }).end();
      }
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const head = await harness.call(vm.port, { method: "HEAD" });
    assert.deepEqual([head.status, head.headers["content-length"], head.body], [200, "12", ""]);
    for (const status of [204, 304]) {
      const answer = await harness.call(vm.port, { path: `/fines/${status}` });
      assert.deepEqual([answer.status, answer.headers.etag, answer.body], [status, '"1"', ""]);
    }
    const trailed = await harness.call(vm.port, { path: "/fines/trailers" });
    assert.deepEqual([trailed.body, { ...trailed.trailers }], ["body", { digest: "abc" }]);
  });

  // Node.js throws for a response that announces trailers without having chunks.
  const trailerless = {
    "to HEAD": {
      request: "HEAD /fines HTTP/1.1",
      answer: "200 OK\r\ntransfer-encoding: chunked\r\n",
    },
    "with a length": { request: "GET /fines HTTP/1.1", answer: "200 OK\r\ncontent-length: 4\r\n" },
    "with 304": { request: "GET /fines HTTP/1.1", answer: "304 Not Modified\r\n" },
    "to HTTP/1.0": {
      request: "GET /fines HTTP/1.0",
      answer: "200 OK\r\ntransfer-encoding: chunked\r\n",
    },
  };
  for (const [what, { request, answer }] of Object.entries(trailerless)) {
    test.it(`${what} are lost if they announce trailers`, async (context) => {
      const body = what === "with a length" ? "body" : "4\r\nbody\r\n0\r\nx-sum: 9\r\n\r\n";
      const hasBody = what === "with a length" || what === "to HTTP/1.0";
      const target = await harness.startRawTarget((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => {
          socket.write(`HTTP/1.1 ${answer}x-part: seven\r\ntrailer: x-sum\r\n\r\n`);
          if (hasBody) {
            socket.write(body);
          }
        });
      });
      const vm = await harness.startVm({ targets: [target.address] });
      context.after(async () => {
        await vm.services.stop();
        await target.stop();
      });
      const { text } = await harness.sendRaw(vm.port, [
        `${request}\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
      ]);
      assert.ok(text.startsWith(`HTTP/1.1 ${answer.slice(0, 3)} `), text);
      assert.match(text, /\r\nx-part: seven\r\n/);
      assert.ok(text.endsWith(hasBody ? "\r\n\r\nbody" : "\r\n\r\n"), text);
      assert.doesNotMatch(text, /\r\ntrailer:/i);
    });
  }

  // Node.js throws for a reason phrase with characters that a head may not have.
  const phrases = {
    "in UTF-8": Buffer.from("Très bien — \u{1f600}"),
    "in Latin-1": Buffer.from("Très bien", "latin1"),
    "with control characters": Buffer.from("Fine\x01\x7f"),
  };
  for (const [what, phrase] of Object.entries(phrases)) {
    test.it(`with a reason phrase ${what} are lost`, async (context) => {
      const target = await harness.startRawTarget((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => {
          const end = Buffer.from("\r\ncontent-length: 4\r\n\r\nbody");
          socket.write(Buffer.concat([Buffer.from("HTTP/1.1 200 "), phrase, end]));
        });
      });
      const vm = await harness.startVm({ targets: [target.address] });
      context.after(async () => {
        await vm.services.stop();
        await target.stop();
      });
      const { text } = await harness.sendRaw(vm.port, [
        `GET /fines HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer ${harness.KEY}\r\n\r\n`,
      ]);
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.ok(text.endsWith("\r\n\r\nbody"), text);
      if (what === "in UTF-8") {
        assert.ok(text.includes(phrase.toString("latin1")), text);
      }
    });
  }

  test.it("stream both ways with back-pressure until the caller disconnects", async (context) => {
    let received = 0;
    let cancelled = false;
    const sockets: net.Socket[] = [];
    const target = await harness.startTarget((request, response) => {
      response.on("close", () => {
        cancelled = !response.writableFinished;
      });
      sockets.push(request.socket);
      request.on("data", (chunk: Buffer) => {
        received += chunk.length;
      });
      request.on("end", () => {
        const write = () => {
          while (!response.destroyed && response.write(Buffer.alloc(65_536))) {
            // Writes until the connection applies back-pressure.
          }
        };
        response.on("drain", write);
        write();
      });
    });
    const vm = await harness.startVm({ targets: [target.address] });
    context.after(async () => {
      await vm.services.stop();
      await target.stop();
    });
    const size = 2_000_000;
    const answer = harness.sendRaw(
      vm.port,
      [
        `POST /fines HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${harness.KEY}\r\n` +
        `Expect: 100-continue\r\nContent-Length: ${size}\r\n\r\n`,
        Buffer.alloc(size),
      ],
      (text) => text.length > 3_000_000,
    );
    assert.match((await answer).text, /^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 OK\r\n/);
    assert.equal(received, size);
    await harness.waitFor(() => cancelled);
  });
});
