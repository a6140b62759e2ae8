/**
 * Tests of what VMs tell each other about requests under which targets end.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as proxy from "@hemlockwalk/proxy";
import * as fc from "fast-check";

const FINGERPRINT = "abc" as model.RequestFingerprint;

const VALID = { fingerprint: "abc", target: "t", startedAt: 5, age: 100 };

test.describe("messages on requests under which targets end", () => {
  test.test("findings arrive as they were sent, at the receiver's time", () => {
    const now = kernel.getMonotonicMilliseconds();
    const sent: proxy.Finding[] = [
      {
        kind: "end",
        fingerprint: FINGERPRINT,
        end: { target: model.createTargetId("t"), startedAt: 5, endedAt: now - 1_000 },
      },
      { kind: "success", fingerprint: FINGERPRINT, at: now - 2_000 },
    ];
    const [end, success] = proxy.decodeFindings(proxy.encodeFindings(sent))._unsafeUnwrap();
    assert.ok(end?.kind === "end" && success?.kind === "success");
    assert.deepEqual([end.end.target, end.end.startedAt], ["t", 5]);
    assert.ok(Math.abs(end.end.endedAt - (now - 1_000)) < 200);
    assert.ok(Math.abs(success.at - (now - 2_000)) < 200);
  });

  test.test("fields and lists that a later version adds are ignored", () => {
    const payload = { ends: [{ ...VALID, later: 1 }], successes: [], others: [{}] };
    assert.equal(proxy.decodeFindings(payload)._unsafeUnwrap().length, 1);
  });

  test.test("a malformed payload is rejected with an error", () => {
    const payloads = [
      undefined,
      null,
      7,
      "text",
      [],
      { ends: VALID, successes: [] },
      { ends: [{ ...VALID, age: -1 }], successes: [] },
      { ends: [{ ...VALID, fingerprint: 7 }], successes: [] },
      { ends: [{ ...VALID, target: "x".repeat(10_000) }], successes: [] },
      { ends: Array.from({ length: 100_000 }, () => VALID), successes: [] },
    ];
    for (const payload of payloads) {
      assert.ok(proxy.decodeFindings(payload).isErr());
    }
    fc.assert(fc.property(fc.anything(), (payload) => {
      proxy.decodeFindings(payload);
    }));
  });
});
