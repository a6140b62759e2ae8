/**
 * The wording, numbers and positions of all findings about notes and baselines, against a file.
 *
 * After a wanted change, run the test with `UPDATE_BASELINES=1` and read the difference.
 */

import assert from "node:assert/strict";
import * as fs from "node:fs";
import process from "node:process";
import * as test from "node:test";
import * as url from "node:url";
import * as model from "@hemlockwalk/model";
import * as configuration from "../src/mod.ts";
import * as generators from "./note_generators.ts";

const BASELINE = url.fileURLToPath(
  new URL("../../test/baselines/diagnostics.txt", import.meta.url),
);

/** Findings that the tool reports and VMs do not; its own tests show them. */
const REPORTED_ELSEWHERE = ["fileUnreadable", "chainGap", "baselineDiffers", "declaredTwice"];

/** Findings that concern the way to a VM and no text; tests of the relay show them. */
const REPORTED_ON_THE_WAY = ["forkedNote", "wrongKey", "wrongDigest"];

const DIGESTS = [0, 1].map(generators.createTestKeyDigest);

/** Writes the note that follows the first one, in several lines. */
function write(first: configuration.TableSnapshot, content: object): string {
  const note = { format: 1, number: 2, previous: first.digest, ...content };
  return JSON.stringify(note, undefined, 2);
}

function listCases(first: configuration.TableSnapshot): Record<string, string> {
  const service = { id: "s0", slots: 3, connections: 10 };
  const target = { id: "t9", service: "s0", address: "10.0.0.1:80", dataCentre: "north-1" };
  return {
    "torn": write(first, { title: "torn" }).slice(0, 60),
    "comments": `${write(first, {})} // Not in notes.`,
    "oversized": write(first, { title: "x".repeat(model.MAXIMUM_NOTE_BYTES) }),
    "not an object": "7",
    "unknown format": write(first, {}).replace('"format": 1', '"format": 2'),
    "unknown fields": write(first, { extra: 1, other: 2, added: { keyz: [] } }),
    "wrong fields": write(first, {
      title: 7,
      added: { services: [{ ...service, floor: 2 }], targets: [{ ...target, address: "host" }] },
    }),
    "wrong entities": write(first, {
      added: {
        workspaces: [{ id: "Upper", rate: 0, burst: 1 }, 5],
        routes: [{ id: "r9", pathPrefix: "no-slash", service: "s0" }],
      },
      withdrawn: { keys: ["short"] },
    }),
    "wrong number": write(first, { number: 4 }),
    "wrong predecessor": write(first, { previous: "0".repeat(64) }),
    "added twice": write(first, { added: { services: [service] } }),
    "not there": write(first, {
      changed: { services: [{ ...service, id: "s7" }] },
      withdrawn: { targets: ["t7"] },
    }),
    "listed twice": write(first, {
      changed: { services: [service, service] },
      withdrawn: { routes: ["r0", "r0"] },
    }),
    "unknown references": write(first, {
      added: {
        keys: [{ digest: "f".repeat(64), workspace: "w9" }],
        targets: [{ ...target, service: "s9" }],
        routes: [{ id: "r9", pathPrefix: "/z", service: "s9", workspaces: ["w0", "w9"] }],
      },
    }),
    "still referenced": write(first, { withdrawn: { workspaces: ["w1"], services: ["s0"] } }),
    "same place": write(first, {
      added: {
        routes: [
          { id: "r8", pathPrefix: "/a", service: "s0" },
          { id: "r9", host: "a.example", pathPrefix: "/a", service: "s0" },
        ],
      },
    }),
  };
}

function listBaselineCases(): Record<string, [string, number]> {
  const workspace = { id: "w0", rate: 1, burst: 1, weight: 1 };
  const key = { digest: DIGESTS[0], workspace: "w0" };
  const route = { id: "r0", pathPrefix: "/a", service: "s0" };
  const service = { id: "s0", slots: 3, connections: 10 };
  const lines = (...entities: readonly unknown[]) =>
    entities.map((entity) => `${JSON.stringify(entity)}\n`).join("");
  return {
    "torn line": [lines(["workspaces", workspace]).slice(0, 30), 1],
    "unknown section": [lines(["other", workspace]), 1],
    "wrong entity": [lines(["workspaces", { ...workspace, rate: -1 }]), 1],
    "repeated": [lines(["workspaces", workspace], ["workspaces", workspace]), 2],
    "missing entities": [lines(["workspaces", workspace]), 2],
    "unknown reference": [lines(["keys", key]), 1],
    "same place": [
      lines(["services", service], ["routes", route], ["routes", {
        ...route,
        id: "r1",
      }]),
      3,
    ],
  };
}

function renderBaselineCase([chunk, entities]: [string, number]): readonly model.Diagnostic[] {
  const builder = new configuration.BaselineBuilder();
  configuration.runAtOnce(builder.addChunkInSteps(chunk));
  const identity = {
    number: model.createNoteNumber(1),
    digest: model.createNoteDigest("note"),
    fleet: { vmLimit: 1, keyPlacement: { header: "key" }, regions: {} },
  };
  const result = configuration.runAtOnce(builder.finishInSteps(identity, entities));
  return result._unsafeUnwrapErr();
}

test.describe("diagnostics", () => {
  test.it("read as in the baseline, each row of the table at least once", () => {
    const lines: string[] = [];
    const codes = new Set<number>();
    const render = (name: string, findings: readonly model.Diagnostic[]) => {
      lines.push(`${name}:`);
      for (const finding of findings) {
        codes.add(finding.code);
        lines.push(`  ${model.formatDiagnostic("notes/2", finding)}`);
      }
    };
    const firstText = generators.writeNote(undefined, generators.FIRST_CONTENT);
    const withoutFleet = configuration.applyNoteText(
      undefined,
      firstText.replace(/"fleet".*?},/, ""),
    );
    render("without fleet", withoutFleet._unsafeUnwrapErr().diagnostics);
    for (const name of Object.keys(listCases(createFirst(firstText)))) {
      // Each case gets a configuration of its own, since a case that were accepted would change it.
      const first = createFirst(firstText);
      const text = listCases(first)[name] ?? "";
      render(name, configuration.applyNoteText(first, text)._unsafeUnwrapErr().diagnostics);
      assert.ok(first.views.keys.isNewest && first.views.routes.isNewest, "Refused whole.");
    }
    for (const [name, parts] of Object.entries(listBaselineCases())) {
      render(`baseline, ${name}`, renderBaselineCase(parts));
    }
    const actual = `${lines.join("\n")}\n`;
    if (process.env["UPDATE_BASELINES"] === "1") {
      fs.writeFileSync(BASELINE, actual);
    }
    assert.equal(actual, fs.readFileSync(BASELINE, "utf8"));
    const unseen = Object.entries(model.Diagnostics)
      .filter(([name, row]) => !codes.has(row.code) && !REPORTED_ELSEWHERE.includes(name))
      .map(([name]) => name);
    assert.deepEqual(unseen.sort(), REPORTED_ON_THE_WAY.toSorted());
  });
});

function createFirst(text: string): configuration.TableSnapshot {
  return configuration.applyNoteText(undefined, text)._unsafeUnwrap();
}
