/**
 * Compares the texts, codes and positions of all diagnostics about notes and baselines with a file.
 *
 * After an intended change, run the test with `UPDATE_BASELINES=1` and review the difference.
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

/** Diagnostics that only the operators' tool reports; its own tests cover them. */
const REPORTED_BY_TOOL = ["fileUnreadable", "chainGap", "baselineDiffers", "declaredTwice"];

/** Diagnostics about receiving a note rather than its text; the tests of the relay cover them. */
const REPORTED_ON_RECEIPT = ["forkedNote", "wrongKey", "wrongDigest"];

const DIGESTS = [0, 1].map(generators.createTestKeyDigest);

/** Creates the text of the second note, on several lines. */
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
    "nonexistent": write(first, {
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
    "same host and prefix": write(first, {
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
    "same host and prefix": [
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
  configuration.runSynchronously(builder.addChunkInSteps(chunk));
  const identity = {
    number: model.createNoteNumber(1),
    digest: model.createNoteDigest("note"),
    fleet: { vmLimit: 1, keyPlacement: { header: "key" }, regions: {} },
  };
  const result = configuration.runSynchronously(builder.finishInSteps(identity, entities));
  return result._unsafeUnwrapErr();
}

test.describe("diagnostics", () => {
  test.it("match the baseline and cover each row of the table", () => {
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
      // Each case has its own configuration, since an accepted note would change a shared one.
      const first = createFirst(firstText);
      const text = listCases(first)[name] ?? "";
      render(name, configuration.applyNoteText(first, text)._unsafeUnwrapErr().diagnostics);
      assert.ok(first.views.keys.isNewest && first.views.routes.isNewest, "Tables are unchanged.");
    }
    for (const [name, parts] of Object.entries(listBaselineCases())) {
      render(`baseline, ${name}`, renderBaselineCase(parts));
    }
    const actual = `${lines.join("\n")}\n`;
    if (process.env["UPDATE_BASELINES"] === "1") {
      fs.writeFileSync(BASELINE, actual);
    }
    assert.equal(actual, fs.readFileSync(BASELINE, "utf8"));
    const uncovered = Object.entries(model.Diagnostics)
      .filter(([name, row]) => !codes.has(row.code) && !REPORTED_BY_TOOL.includes(name))
      .map(([name]) => name);
    assert.deepEqual(uncovered.sort(), REPORTED_ON_RECEIPT.toSorted());
  });
});

function createFirst(text: string): configuration.TableSnapshot {
  return configuration.applyNoteText(undefined, text)._unsafeUnwrap();
}
