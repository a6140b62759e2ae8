/**
 * Compares the incremental check and the shared tables with a full check on plain maps.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as model from "@hemlockwalk/model";
import * as fastCheck from "fast-check";
import * as configuration from "../src/mod.ts";
import * as fullCheck from "./full_check.ts";
import * as generators from "./note_generators.ts";

interface Step {
  readonly snapshot: configuration.TableSnapshot;
  readonly state: fullCheck.PlainState;
}

function sortById<Entity extends object>(entities: Iterable<Entity>): Entity[] {
  return [...entities].sort((left, right) =>
    configuration.getEntityId(left as configuration.Entity) <
        configuration.getEntityId(right as configuration.Entity)
      ? -1
      : 1
  );
}

/** Checks that all lookups in a snapshot agree with the plain maps. */
function assertMatchesState({ snapshot, state }: Step): void {
  const { workspaces, keys, services, targets, routes } = state.tables;
  assert.deepEqual(sortById(snapshot.listWorkspaces()), sortById(workspaces.values()));
  assert.deepEqual(sortById(snapshot.listKeys()), sortById(keys.values()));
  assert.deepEqual(sortById(snapshot.listServices()), sortById(services.values()));
  assert.deepEqual(sortById(snapshot.listRoutes()), sortById(routes.values()));
  for (let index = 0; index < 6; index++) {
    const digest = generators.createTestKeyDigest(index);
    assert.deepEqual(snapshot.findKey(digest), keys.get(digest));
    const service = model.createServiceId(`s${index}`);
    const expected = [...targets.values()].filter((target) => target.service === service);
    assert.deepEqual(snapshot.listTargets(service), sortById(expected));
  }
  for (const host of ["a.example", "b.example", "other"]) {
    for (const path of ["/", "/a", "/a/b", "/a/b/c", "/c", "/d"]) {
      assert.deepEqual(snapshot.matchRoute(host, path), matchRoute(routes, host, path));
    }
  }
}

function matchRoute(
  routes: ReadonlyMap<string, model.Route>,
  host: string,
  path: string,
): model.Route | undefined {
  const fits = (route: model.Route) =>
    (route.host ?? host) === host &&
    (route.pathPrefix === "/" || `${path}/`.startsWith(`${route.pathPrefix}/`));
  const getRank = (route: model.Route) =>
    (route.host === undefined ? 0 : 1_000) + route.pathPrefix.length;
  return [...routes.values()].filter(fits)
    .sort((left, right) => getRank(right) - getRank(left))[0];
}

function applyContent(
  current: configuration.TableSnapshot | undefined,
  content: generators.NoteContent,
): configuration.TableSnapshot {
  const text = generators.writeNote(current, content);
  return configuration.applyNoteText(current, text)._unsafeUnwrap();
}

const manyContents = fastCheck.array(generators.noteContent, { minLength: 10, maxLength: 25 });

test.describe("applying notes", () => {
  test.it("accepts and refuses like a full check, without changing old configurations", () => {
    let accepted = 0;
    let refused = 0;
    fastCheck.assert(
      fastCheck.property(manyContents, (contents) => {
        const history: Step[] = [];
        for (const content of [generators.FIRST_CONTENT, ...contents]) {
          const current = history.at(-1);
          const text = generators.writeNote(current?.state, content);
          const expected = fullCheck.applyNoteText(current?.state, text);
          const actual = configuration.applyNoteText(current?.snapshot, text);
          assert.equal(actual.isOk(), expected.isOk(), text);
          if (actual.isOk() && expected.isOk()) {
            history.push({ snapshot: actual.value, state: expected.value });
            accepted++;
          } else {
            refused++;
          }
        }
        history.forEach(assertMatchesState);
      }),
      { seed: 20_261_203, numRuns: 300 },
    );
    // Both outcomes must be frequent for the property to be meaningful.
    assert.ok(accepted > 1_000 && refused > 1_000, `${accepted} accepted, ${refused} refused`);
  });

  test.it("switches from one configuration to the next atomically", () => {
    const keys = Array.from({ length: 300 }, (_, index) => model.createKeyDigest(`many-${index}`));
    const first = applyContent(undefined, {
      ...generators.FIRST_CONTENT,
      added: {
        workspaces: [{ id: "w0", rate: 1, burst: 1 }, { id: "w1", rate: 1, burst: 1 }],
        keys: keys.map((digest) => ({ digest, workspace: "w0" })),
      },
    });
    const text = generators.writeNote(first, {
      added: {},
      changed: { keys: keys.slice(0, 150).map((digest) => ({ digest, workspace: "w1" })) },
      withdrawn: { keys: keys.slice(150) },
    });
    const assertBefore = () => {
      assert.ok(keys.every((digest) => first.findKey(digest)?.workspace === "w0"));
      assert.equal([...first.listKeys()].length, keys.length);
    };
    const note = model.parseReleaseNote(text)._unsafeUnwrap();
    const digest = model.createNoteDigest(text);
    const steps = configuration.applyNoteInSteps(first, note, digest, text);
    let yields = 0;
    let step = steps.next();
    for (; step.done !== true; step = steps.next()) {
      assertBefore();
      yields++;
    }
    const { snapshot, withdrawnKeys } = step.value._unsafeUnwrap();
    assert.deepEqual(withdrawnKeys.toSorted(), keys.toSorted());
    const merging = snapshot.mergePendingInSteps();
    do {
      assertBefore();
      assert.ok(keys.slice(0, 150).every((key) => snapshot.findKey(key)?.workspace === "w1"));
      assert.ok(keys.slice(150).every((key) => snapshot.findKey(key) === undefined));
      assert.equal([...snapshot.listKeys()].length, 150);
      yields++;
    } while (merging.next().done !== true);
    assert.ok(yields > 50, `${yields} yields`);
  });

  test.it("loads the same configuration from a baseline as from the notes", () => {
    fastCheck.assert(
      fastCheck.property(manyContents, (contents) => {
        let snapshot: configuration.TableSnapshot | undefined;
        for (const content of [generators.FIRST_CONTENT, ...contents]) {
          snapshot = configuration.applyNoteText(snapshot, generators.writeNote(snapshot, content))
            .unwrapOr(snapshot);
        }
        assert.ok(snapshot !== undefined);
        const baseline = configuration.runSynchronously(
          configuration.createBaselineInSteps(snapshot),
        );
        const builder = new configuration.BaselineBuilder();
        for (const chunk of baseline.chunks.values()) {
          configuration.runSynchronously(builder.addChunkInSteps(chunk));
        }
        const steps = builder.finishInSteps(snapshot, baseline.manifest.entities);
        const loaded = configuration.runSynchronously(steps)._unsafeUnwrap();
        const recreated = configuration.runSynchronously(
          configuration.createBaselineInSteps(loaded),
        );
        assert.deepEqual(recreated, baseline);
        // The reference counts also come from the baseline, so withdrawals must be checked alike.
        for (const content of contents) {
          const text = generators.writeNote(snapshot, content);
          const fromNotes = configuration.applyNoteText(snapshot, text);
          const fromBaseline = configuration.applyNoteText(loaded, text);
          assert.equal(fromBaseline.isOk(), fromNotes.isOk());
          if (fromNotes.isOk()) {
            return;
          }
        }
      }),
      { seed: 4, numRuns: 100 },
    );
  });
});
