/**
 * Tests of the declarations in force and of the list of targets.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as declarations from "@hemlockwalk/declarations";
import * as testing from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fc from "fast-check";
import * as fixtures from "@hemlockwalk/declarations/testing";

const DESK = model.createServiceId("desk");

test.describe("route table", () => {
  const table = new declarations.RouteTable([
    fixtures.createRoute({ id: model.createRouteId("all"), pathPrefix: "/" }),
    fixtures.createRoute({ id: model.createRouteId("a"), pathPrefix: "/a/" }),
    fixtures.createRoute({ id: model.createRouteId("ab"), pathPrefix: "/a/b/" }),
  ]);

  const find = (host: string, path: string) => table.find(host, path)?.id;

  test.test("the longest prefix wins", () => {
    assert.equal(find("desk.example", "/a/b/c"), "ab");
    assert.equal(find("desk.example", "/a/bc"), "a");
    assert.equal(find("desk.example", "/other"), "all");
  });

  test.test("hosts are compared without port and case", () => {
    assert.equal(find("DESK.example:8080", "/a/x"), "a");
    assert.equal(find("elsewhere.example", "/a/x"), undefined);
  });
});

test.test("versions only increase", () => {
  const store = new declarations.DeclarationStore();
  assert.equal(store.apply(fixtures.createDeclarations(7)), true);
  assert.equal(store.apply(fixtures.createDeclarations(5)), false);
  assert.equal(store.apply(fixtures.createDeclarations(7)), false);
  assert.equal(store.apply(fixtures.createDeclarations(12)), true);
  assert.equal(store.current?.declarations.version, 12);
});

test.describe("target directory", () => {
  test.test("draining and removed targets get no requests", () => {
    const directory = new declarations.TargetDirectory();
    directory.apply(fixtures.createChange("a", 1));
    directory.apply(fixtures.createChange("b", 2));
    directory.apply(fixtures.createChange("a", 3, { isDraining: true }));
    directory.apply(fixtures.createRemoval("b", 4));
    assert.deepEqual(directory.listServing(DESK), []);
    assert.equal(directory.find(model.createTargetId("a"))?.isDraining, true);
  });

  test.test("an older change does not restore a removed target", () => {
    const directory = new declarations.TargetDirectory();
    directory.apply(fixtures.createRemoval("a", 9));
    assert.equal(directory.apply(fixtures.createChange("a", 8)), false);
    assert.equal(directory.find(model.createTargetId("a")), undefined);
  });

  test.test("targets that the store no longer holds are missing, unless they are newer", () => {
    const directory = new declarations.TargetDirectory();
    directory.apply(fixtures.createChange("old", 3));
    directory.apply(fixtures.createChange("new", 30));
    const missing = directory.listMissing(new Set(), fixtures.createPosition(20));
    assert.deepEqual(missing.map((change) => change.id), ["old"]);
  });

  test.test("the order and repetition of changes do not matter", () => {
    const runs = testing.getRandomRuns(101, 200);
    const change = fc.record({
      id: fc.constantFrom("a", "b", "c"),
      revision: fc.integer({ min: 1, max: 30 }),
      isGone: fc.boolean(),
    });
    fc.assert(
      fc.property(
        fc.uniqueArray(change, { selector: (entry) => entry.revision, maxLength: 12 }),
        fc.infiniteStream(fc.nat()),
        (entries, order) => {
          const changes = entries.map((entry) =>
            entry.isGone
              ? fixtures.createRemoval(entry.id, entry.revision)
              : fixtures.createChange(entry.id, entry.revision)
          );
          const inOrder = new declarations.TargetDirectory();
          [...changes]
            .sort((left, right) => declarations.comparePositions(left.position, right.position))
            .forEach((entry) => inOrder.apply(entry));
          const shuffled = new declarations.TargetDirectory();
          [...changes, ...changes]
            .map((entry) => ({ entry, key: order.next().value as number }))
            .sort((left, right) => left.key - right.key)
            .forEach(({ entry }) => shuffled.apply(entry));
          const sort = (list: declarations.TargetChange[]) =>
            list.sort((left, right) =>
              declarations.comparePositions(left.position, right.position)
            );
          assert.deepEqual(sort(shuffled.listChanges()), sort(inOrder.listChanges()));
        },
      ),
      runs,
    );
  });
});
