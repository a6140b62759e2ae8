/**
 * Tests which VMs are chosen to read the store.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";
import * as fc from "fast-check";
import * as storeReaders from "../src/store_readers.ts";

const READERS = 3;

test.describe("readers of the store", () => {
  const dataCentres = [["a-1", "a-2"], ["b-1", "b-2"], ["c-1"], ["d-1", "d-2"]];

  test.it("are the first VMs of different data centres", () => {
    assert.deepEqual(storeReaders.listReaders(dataCentres, () => false), ["a-1", "b-1", "c-1"]);
  });

  test.it("are replaced by the next ones if they are turned away", () => {
    const turnedAway = new Set(["a-1", "c-1"]);
    assert.deepEqual(
      storeReaders.listReaders(dataCentres, (vm) => turnedAway.has(vm)),
      ["a-2", "b-1", "d-1"],
    );
  });

  test.it("are as many as possible, none turned away, and in as many data centres as possible", () => {
    const sizes = fc.array(fc.nat(5), { minLength: 1, maxLength: 6 });
    fc.assert(
      fc.property(sizes, fc.func(fc.boolean()), (counts, isTurnedAway) => {
        const members = counts.map((count, dataCentre) =>
          Array.from({ length: count }, (_, rank) => ({ dataCentre, rank }))
        );
        const readers = storeReaders.listReaders(members, isTurnedAway);
        const served = members.map((all) => all.filter((member) => !isTurnedAway(member)));
        assert.equal(readers.length, Math.min(READERS, served.flat().length));
        assert.ok(readers.every((reader) => !isTurnedAway(reader)));
        assert.equal(
          new Set(readers.map(({ dataCentre }) => dataCentre)).size,
          Math.min(READERS, served.filter((all) => all.length > 0).length),
        );
      }),
      kernelTesting.getRandomRuns(34, 200),
    );
  });

  test.it("survive reports of any shape", () => {
    let receive: mesh.ReportSection["receive"] = () => assert.fail();
    const self: mesh.MemberIdentity = {
      vm: model.createVmId("a-1"),
      incarnation: model.createIncarnation(),
      dataCentre: model.createDataCentreId("a"),
      address: "127.0.0.1:1",
      tag: 1,
      capacity: 5,
    };
    const logger = new kernel.ComponentLogger(kernel.createSilentLogger(), "test");
    const vmMesh = new mesh.Mesh({ self, listSeeds: () => [], logger });
    vmMesh.addSection = (_name, section) => receive = section.receive.bind(section);
    const readers = new storeReaders.StoreReaders(vmMesh, logger);
    const from = { ...self, vm: model.createVmId("a-2") };
    fc.assert(
      fc.property(fc.anything(), (payload) => {
        receive(from, payload);
        receive(from, [payload, payload]);
        receive(from, [true, payload]);
        assert.equal(readers.chooseReason(), "ranked");
      }),
      kernelTesting.getRandomRuns(34, 200),
    );
  });
});
