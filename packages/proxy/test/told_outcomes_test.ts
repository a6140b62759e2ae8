/**
 * Tests of the outcomes that VMs of other versions report.
 *
 * Guards against a report with unknown or malformed evidence that throws, which would end the
 * handling of the whole report, and against new outcomes in a section that older VMs read.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as fixtures from "@hemlockwalk/declarations/testing";
import * as kernel from "@hemlockwalk/kernel";
import type * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import * as trackers from "../src/target_tracker.ts";

const TARGET = model.createTargetId("target");
const SENDER = { vm: model.createVmId("sender") } as mesh.MemberIdentity;
const NO_TARGETS: ReadonlySet<model.TargetId> = new Set();

function createTracker() {
  const directory = new declarations.TargetDirectory();
  const change = fixtures.createChange(TARGET, 1);
  directory.apply(change);
  const sections = new Map<string, mesh.ReportSection>();
  const lines: unknown[] = [];
  const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
  logger.write = (message) => lines.push(message.code);
  const vmMesh = {
    self: { vm: model.createVmId("self"), dataCentre: model.createDataCentreId("north") },
    listOthers: () => [],
    reportSoon: () => {},
    addSection: (name: string, section: mesh.ReportSection) => sections.set(name, section),
  } as unknown as mesh.Mesh;
  const tracker = new trackers.TargetTracker(
    directory,
    new declarations.Evacuations(),
    new placement.HomePolicy({ byDataCentre: new Map(), own: undefined }),
    vmMesh,
    logger,
    new kernel.Metrics(),
    () => 1,
    "127.0.0.1",
    () => undefined,
  );
  const service = change.entry?.service ?? assert.fail();
  const getProbability = () =>
    tracker.listCandidates(service, NO_TARGETS, undefined)[0]?.failureProbability ?? assert.fail();
  return { tracker, sections, lines, getProbability };
}

test.test("unknown and malformed outcomes are ignored and logged once, others are applied", () => {
  const { sections, lines, getProbability } = createTracker();
  const before = getProbability();
  for (const name of ["outcomes", "open_calls"]) {
    const section = sections.get(name) ?? assert.fail();
    const ignored = [["unheard_of", 1, 10], ["error"], ["error", -1, 10], ["error", 1, "x"], [
      "error",
      1,
      -9,
    ], null];
    for (const payload of [null, 7, "text", { [TARGET]: ignored }, { [TARGET]: 3 }]) {
      section.receive(SENDER, payload);
    }
  }
  assert.ok(Math.abs(getProbability() - before) < 1e-9);
  assert.deepEqual(lines, [kernel.LogMessages.peerEvidenceIgnored.code]);
  // A later version may append elements.
  sections.get("outcomes")?.receive(SENDER, { [TARGET]: [["error", 1e9, 10, "later"]] });
  assert.ok(getProbability() > 0.5, `after an error: ${getProbability()}`);
});

test.test("overdue calls are told in a section that earlier versions ignore", () => {
  const { tracker, sections } = createTracker();
  const now = kernel.getMonotonicMilliseconds();
  tracker.recordOutcome(TARGET, "overdue", now);
  tracker.recordOutcome(TARGET, "late", now);
  assert.equal(sections.get("outcomes")?.collect(1), undefined);
  const payload = sections.get("open_calls")?.collect(1) as Record<string, unknown[][]>;
  assert.deepEqual(payload[TARGET]?.map(([outcome]) => outcome), ["overdue", "late"]);
  const other = createTracker();
  const before = other.getProbability();
  other.sections.get("open_calls")?.receive(SENDER, { [TARGET]: [["overdue", 3, 700]] });
  assert.ok(other.getProbability() > before);
});
