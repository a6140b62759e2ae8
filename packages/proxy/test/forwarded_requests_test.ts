/**
 * Tests of requests that reach the port of the mesh as ones that another VM has accepted.
 */

import * as assert from "node:assert/strict";
import * as http from "node:http";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fc from "fast-check";
import * as harness from "./harness.ts";

const HEADER = "hemlockwalk-forwarded";

/** Addresses of the VM that is tested, of another one, and of no VM. */
const HOST = "127.0.0.3";
const MEMBER_HOST = "127.0.0.4";
const UNKNOWN_HOST = "127.0.0.5";

/** Decisions that the declarations allow for the request that `send` sends. */
const DECISIONS = {
  route: "bookings",
  isIdempotent: false,
  objective: 500,
  attempts: 2,
  workspace: "city",
  service: "desk",
  priority: 1,
  left: 1_000,
};

const TARGETS = 4;

const READS_ROUTE = harness.createRoute({
  id: model.createRouteId("reads"),
  pathPrefix: "/reads/",
  isIdempotent: true,
});

const PUBLIC_ROUTE = harness.createRoute({
  id: model.createRouteId("public"),
  pathPrefix: "/public/",
  isPublic: true,
});

interface PeerAnswer {
  readonly status: number;
  readonly refusal: string | undefined;
}

let nextRequest = 1;

function encode(document: unknown): string {
  return Buffer.from(JSON.stringify(document)).toString("base64url");
}

/** Sends a request with a value of the header to the port of the mesh. */
function send(
  vm: harness.TestVm,
  value: string,
  from = MEMBER_HOST,
  path = "/bookings/1",
): Promise<PeerAnswer> {
  const { host, port } = kernel.splitAddress(vm.peerAddress);
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      agent: false,
      host,
      port,
      localAddress: from,
      method: "POST",
      path,
      headers: {
        Host: "desk.example",
        [harness.PROFILE.requestId]: `forwarded-${nextRequest++}`,
        [HEADER]: value,
      },
    }, (incoming) => {
      incoming.resume().on("end", () =>
        resolve({
          status: incoming.statusCode ?? 0,
          refusal: incoming.headers["hemlockwalk-refusal"]?.toString(),
        }));
    });
    outgoing.on("error", reject).end();
  });
}

async function withMember(run: (vm: harness.TestVm) => Promise<void>): Promise<void> {
  const store = new harness.MemoryStore();
  const vm = new harness.TestVm({ name: "vm", store, seeds: [], host: HOST });
  let member: harness.TestVm | undefined;
  const routes = [harness.createRoute(), READS_ROUTE, PUBLIC_ROUTE];
  try {
    await vm.start(TARGETS, harness.createDeclarations(1, { routes }));
    const seeds = [vm.peerAddress];
    member = new harness.TestVm({ name: "member", store, seeds, host: MEMBER_HOST });
    await member.start(0);
    await kernelTesting.waitFor(
      async () => (await send(vm, encode(DECISIONS))).status === 200,
      "the members know each other",
    );
    vm.targets.forEach(({ requests }) => requests.length = 0);
    await run(vm);
  } finally {
    await Promise.all([vm.stop(), member?.stop()]);
  }
}

/** Decisions of which one is missing, of another type or out of its bounds. */
const invalidDecisions: fc.Arbitrary<unknown> = fc.oneof(
  fc.constantFrom(...Object.keys(DECISIONS).filter((name) => name !== "workspace")).map((name) =>
    Object.fromEntries(Object.entries(DECISIONS).filter(([known]) => known !== name))
  ),
  fc.tuple(
    fc.constantFrom("attempts", "left"),
    fc.oneof(
      fc.constantFrom(1e9, 1e12, 1e300, -1, -1e12, 0.5),
      fc.integer({ max: -1 }),
      fc.integer({ min: 2 ** 31, max: Number.MAX_SAFE_INTEGER }),
    ),
  ).map(([name, value]) => ({ ...DECISIONS, [name]: value })),
  fc.tuple(
    fc.constantFrom(...Object.keys(DECISIONS)),
    fc.oneof(fc.constant(null), fc.array(fc.string()), fc.object()),
  ).map(([name, value]) => ({ ...DECISIONS, [name]: value })),
  fc.jsonValue().filter((value) => typeof value !== "object" || Array.isArray(value)),
);

const invalidValue: fc.Arbitrary<string> = fc.oneof(
  invalidDecisions.map(encode),
  fc.base64String().map((text) => text.replaceAll("=", "")),
  fc.string({ unit: "grapheme-ascii" }).map((text) => text.trim()),
  fc.nat(encode(DECISIONS).length - 2).map((length) => encode(DECISIONS).slice(0, length)),
);

test.describe("requests that claim to be passed on", () => {
  test.test("are served with decisions that are damaged or out of bounds", async () => {
    await withMember(async (vm) => {
      const property = fc.asyncProperty(invalidValue, async (value) => {
        assert.deepEqual(await send(vm, value), { status: 400, refusal: "invalid_forward" });
      });
      await fc.assert(property, kernelTesting.getRandomRuns(301, 300));
      assert.equal(vm.countRequests(), 0);
      assert.equal((await send(vm, encode(DECISIONS))).status, 200);
      const lines = vm.log.filter(({ code }) => code === kernel.LogMessages.forwardRejected.code);
      assert.ok(lines.length > 0);
    });
  });

  test.test("are served although no VM has the sender's address", async () => {
    await withMember(async (vm) => {
      const answer = await send(vm, encode(DECISIONS), UNKNOWN_HOST);
      assert.deepEqual(answer, { status: 503, refusal: "unknown_peer" });
      assert.equal(vm.countRequests(), 0);
    });
  });

  test.test("are served for a route, service or workspace that is not declared", async () => {
    await withMember(async (vm) => {
      const cases = [
        { decisions: { ...DECISIONS, route: "none" } },
        { decisions: { ...DECISIONS, route: "public" } },
        { decisions: { ...DECISIONS, service: "other" } },
        { decisions: { ...DECISIONS, workspace: "other" } },
        { decisions: { ...DECISIONS, workspace: undefined } },
        { decisions: { ...DECISIONS, route: "public" }, path: "/public/1" },
        { decisions: DECISIONS, path: "/nowhere/1" },
      ];
      for (const { decisions, path } of cases) {
        const answer = await send(vm, encode(decisions), MEMBER_HOST, path);
        assert.deepEqual(answer, { status: 503, refusal: "undeclared_forward" });
      }
      assert.equal(vm.countRequests(), 0);
    });
  });

  test.test("reach more targets, or run again, against the settings of their route", async () => {
    await withMember(async (vm) => {
      for (const target of vm.targets) {
        target.behaviour = (request, response) => {
          response.writeHead(500, harness.createAnswerHeaders(request)).end("failing");
        };
      }
      const decisions = { ...DECISIONS, isIdempotent: true, attempts: 1_000 };
      assert.equal((await send(vm, encode(decisions))).status, 500);
      assert.equal(vm.countRequests(), 1);
      const reads = { ...decisions, route: READS_ROUTE.id };
      assert.equal((await send(vm, encode(reads), MEMBER_HOST, "/reads/1")).status, 500);
      assert.equal(vm.countRequests(), 1 + READS_ROUTE.attempts);
    });
  });

  test.test("are taken by the listener for callers", async () => {
    await withMember(async (vm) => {
      const headers = { [HEADER]: encode({ ...DECISIONS, workspace: "other" }) };
      for (const key of ["Bearer wrong", ""]) {
        assert.equal((await vm.call({ headers: { ...headers, Authorization: key } })).status, 401);
      }
      assert.equal(vm.countRequests(), 0);
      assert.equal((await vm.call({ headers })).status, 200);
      const [request] = vm.targets.flatMap(({ requests }) => requests);
      assert.equal(request?.headers[harness.PROFILE.workspace], "city");
      assert.equal(request?.headers[HEADER], undefined);
    });
  });
});
