/**
 * Tests of VMs that are cut off from all targets while callers and other VMs reach them.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as harness from "./harness.ts";
import * as partitions from "./partition.ts";

/** Time after the beginning of a partition from which callers are to be served. */
const STABLE_MILLISECONDS = 3_000;

const TARGETS = 5;

/** Targets to which the routes of the tests allow a request to be sent. */
const ATTEMPTS = 2;

/** Last number of the first VM's address; ports are claimed on those below. */
const FIRST_HOST = 3;

let nextRequest = 1;

async function withFleet(
  run: (cut: harness.TestVm, others: readonly harness.TestVm[]) => Promise<void>,
): Promise<void> {
  const vms: harness.TestVm[] = [];
  try {
    const store = new harness.MemoryStore();
    for (const [index, name] of ["vm-other", "vm-cut", "vm-third"].entries()) {
      const seeds = vms.map(({ peerAddress }) => peerAddress);
      const vm = new harness.TestVm({ name, store, seeds, host: `127.0.0.${FIRST_HOST + index}` });
      vms.push(vm);
      await vm.start(index === 0 ? TARGETS : 0);
    }
    const [other, cut, third] = vms;
    assert.ok(other !== undefined && cut !== undefined && third !== undefined);
    // All VMs know each other.
    await kernel.sleep(500);
    await run(cut, [other, third]);
  } finally {
    await Promise.all(vms.map((vm) => vm.stop()));
  }
}

/** Sends requests for some time; returns how many were served, and how many there were. */
async function sendFor(vm: harness.TestVm, milliseconds: number) {
  const endsAt = performance.now() + milliseconds;
  const sent: Promise<harness.CallerAnswer>[] = [];
  while (performance.now() < endsAt) {
    sent.push(
      vm.call({ headers: createIdentifier("write") }),
      vm.call({ method: "GET", path: "/reads/1", headers: createIdentifier("read") }),
    );
    await kernel.sleep(60);
  }
  const answers = await Promise.all(sent);
  return {
    served: answers.filter(({ status }) => status === 200).length,
    sent: answers.length,
    answers,
  };
}

function createIdentifier(kind: string): Record<string, string> {
  return { [harness.PROFILE.requestId]: `${kind}-${nextRequest++}` };
}

/** Requests that may not run twice, by the number of targets that received them. */
function countWrites(vm: harness.TestVm): Map<string, number> {
  const runs = new Map<string, number>();
  for (const { headers } of vm.targets.flatMap(({ requests }) => requests)) {
    const id = String(headers[harness.PROFILE.requestId]);
    if (id.startsWith("write")) {
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
  }
  return runs;
}

test.describe("VMs cut off from the targets", () => {
  for (const mode of ["hangs", "resets", "refuses new connections"] as const) {
    test.test(`callers of a VM are not served while its path to the targets ${mode}`, async () => {
      await withFleet(async (cut, [other]) => {
        assert.ok(other !== undefined);
        assert.ok((await sendFor(cut, 300)).served > 0);
        const endPartition = partitions.startPartition([cut.host], other.targets, mode);
        try {
          await sendFor(cut, STABLE_MILLISECONDS);
          const [atCut, atOther] = await Promise.all([sendFor(cut, 1_500), sendFor(other, 1_500)]);
          assert.ok(
            atCut.served * atOther.sent >= atOther.served * atCut.sent * 2 / 3,
            `${atCut.served} of ${atCut.sent} served, ${atOther.served} of ${atOther.sent} elsewhere`,
          );
          assert.ok(atCut.sent - atCut.served <= 10 + atCut.sent / 50);
        } finally {
          endPartition();
        }
        assert.ok([...countWrites(other).values()].every((count) => count === 1));
      });
    });
  }

  test.test("a request that is passed on changes, carries its key or is counted twice", async () => {
    await withFleet(async (cut, [other]) => {
      assert.ok(other !== undefined);
      const endPartition = partitions.startPartition([cut.host], other.targets, "resets");
      try {
        await sendFor(cut, 1_000);
        const headers: Record<string, string> = {
          ...createIdentifier("write"),
          "X-Note": "kept",
        };
        const answer = await cut.call({ path: "/bookings/7?a=b", body: "payload", headers });
        assert.deepEqual([answer.status, answer.body], [200, "done"]);
        const id = headers[harness.PROFILE.requestId];
        assert.equal(answer.headers[harness.PROFILE.requestId], id);
        const received = other.targets.flatMap(({ requests }) => requests)
          .filter((request) => request.headers[harness.PROFILE.requestId] === id);
        assert.equal(received.length, 1);
        const [request] = received;
        assert.ok(request !== undefined);
        assert.deepEqual([request.method, request.url], ["POST", "/bookings/7?a=b"]);
        assert.equal(request.headers["content-length"], "7");
        assert.equal(request.headers["x-note"], "kept");
        assert.equal(request.headers[harness.PROFILE.workspace], "city");
        assert.equal(request.headers.authorization, undefined);
        assert.equal(request.headers["hemlockwalk-forwarded"], undefined);
        const left = Number(request.headers[harness.PROFILE.deadline]);
        assert.ok(left > 0 && left <= 1_000, `${left} ms left`);
      } finally {
        endPartition();
      }
    });
  });

  test.test("a request that is passed on reaches more targets than its route allows", async () => {
    await withFleet(async (cut, [other]) => {
      assert.ok(other !== undefined);
      const { targets } = other;
      const answerError: harness.Behaviour = (request, response) => {
        response.writeHead(500, harness.createAnswerHeaders(request)).end("failing");
      };
      const shed: harness.Behaviour = (request, response) => {
        const head = { ...harness.createAnswerHeaders(request), [harness.PROFILE.notRun]: "1" };
        response.writeHead(503, head).end();
      };
      const breakOff: harness.Behaviour = (request) => request.socket.destroy();
      const endPartition = partitions.startPartition([cut.host], targets, "resets");
      try {
        await sendFor(cut, 1_000);
        for (const behaviour of [answerError, shed, breakOff]) {
          targets.forEach((target) => {
            target.requests.length = 0;
            target.behaviour = behaviour;
          });
          await sendFor(cut, 500);
          const arrivals = new Map<string, number>();
          for (const { headers } of targets.flatMap(({ requests }) => requests)) {
            const id = String(headers[harness.PROFILE.requestId]);
            arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
          }
          const most = Math.max(...arrivals.values());
          assert.ok(most <= ATTEMPTS, `${most} arrivals of one request`);
        }
      } finally {
        endPartition();
      }
    });
  });

  test.test("a VM is asked to serve for another although it has lost its path too", async () => {
    await withFleet(async (cut, [other]) => {
      assert.ok(other !== undefined);
      const hosts = [cut.host, other.host];
      const endPartition = partitions.startPartition(hosts, other.targets, "resets");
      try {
        await Promise.all([sendFor(cut, STABLE_MILLISECONDS), sendFor(other, STABLE_MILLISECONDS)]);
        const results = await Promise.all([sendFor(cut, 1_000), sendFor(other, 1_000)]);
        results.forEach(({ served, sent }) => assert.equal(served, sent));
        assert.ok([...countWrites(other).values()].every((count) => count === 1));
      } finally {
        endPartition();
      }
      const countLines = (message: { readonly code: number }) =>
        cut.log.filter(({ code }) => code === message.code).length;
      assert.equal(countLines(kernel.LogMessages.pathLost), 1);
      await harness.waitFor(
        () => countLines(kernel.LogMessages.pathRestored) === 1,
        "the path is back",
      );
      const { served, sent } = await sendFor(cut, 500);
      assert.equal(served, sent);
    });
  });

  test.test("a request that another VM has passed on without readable decisions is served", async () => {
    await harness.withVm(1, async (vm) => {
      for (const text of ["", "no base64url?", Buffer.from("{}").toString("base64url")]) {
        const response = await fetch(`http://${vm.peerAddress}/bookings/1`, {
          headers: { "hemlockwalk-forwarded": text },
        });
        assert.equal(response.status, 400);
        assert.equal(response.headers.get("hemlockwalk-refusal"), "invalid_forward");
      }
      assert.equal(vm.countRequests(), 0);
    });
  });

  test.test("a caller passes a request off as one that another VM has accepted", async () => {
    await harness.withVm(1, async (vm) => {
      const decisions = Buffer.from(JSON.stringify({ service: "desk" })).toString("base64url");
      const headers = { Authorization: "Bearer wrong", "hemlockwalk-forwarded": decisions };
      assert.equal((await vm.call({ headers })).status, 401);
      const answer = await vm.call({ headers: { "hemlockwalk-forwarded": decisions } });
      assert.equal(answer.status, 200);
      const [request] = vm.targets[0]?.requests ?? [];
      assert.equal(request?.headers["hemlockwalk-forwarded"], undefined);
    });
  });
});
