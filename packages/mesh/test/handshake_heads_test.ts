/**
 * Guards against a link to another VM whose handshake has a field without a proper name, whatever
 * the parser of the runtime accepts.
 */

import * as assert from "node:assert/strict";
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as mesh from "@hemlockwalk/mesh";
import * as model from "@hemlockwalk/model";

/** Handed over with a blank in its name. */
const RENAMED = "Sent-Blank";

/** Appended to the key of a handshake (RFC 6455, section 4.2.2). */
const ACCEPT_SUFFIX = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";

async function withVm(
  seeds: readonly string[],
  run: (address: string) => Promise<void>,
): Promise<void> {
  const address = await kernelTesting.claimUnusedAddress();
  const vm = new mesh.Mesh({
    self: {
      vm: model.createVmId("vm-0"),
      incarnation: model.createIncarnation(),
      dataCentre: model.createDataCentreId("north"),
      address,
      tag: 1,
      capacity: 5,
    },
    listSeeds: () => seeds,
    logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "mesh"),
  });
  await vm.start();
  try {
    await run(address);
  } finally {
    vm.stop();
  }
}

test.describe("heads of handshakes between VMs", () => {
  let restore: () => void;
  test.before(() => restore = kernelTesting.renameFields({ [RENAMED]: "X Part" }));
  test.after(() => restore());

  for (const [name, isAccepted] of [["X-Part", true], [RENAMED, false]] as const) {
    test.test(`a VM ${isAccepted ? "refuses" : "accepts"} a link with ${name}`, async () => {
      await withVm([], async (address) => {
        const { host, port } = kernel.splitAddress(address);
        const socket = net.connect({ host, port });
        let received = "";
        let isClosed = false;
        socket.on("error", () => undefined);
        socket.on("data", (chunk) => received += chunk.toString("latin1"));
        socket.once("close", () => isClosed = true);
        socket.write(
          `GET / HTTP/1.1\r\nHost: ${address}\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n` +
            "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n" +
            `${name}: 1\r\n\r\n`,
        );
        await kernelTesting.waitFor(() => isClosed || received !== "", "the VM responds");
        assert.equal(received.startsWith("HTTP/1.1 101 "), isAccepted);
        socket.destroy();
      });
    });

    test.test(`a VM ${isAccepted ? "leaves" : "uses"} a link that is opened with ${name}`, async () => {
      let isClosed = false;
      let bytes = 0;
      const server = net.createServer((socket) => {
        socket.on("error", () => undefined);
        socket.once("close", () => isClosed = true);
        socket.once("data", (head) => {
          const key = /^Sec-WebSocket-Key: (.*)$/im.exec(head.toString())?.[1]?.trim() ?? "";
          const accept = crypto.createHash("sha1").update(key + ACCEPT_SUFFIX).digest("base64");
          socket.on("data", (chunk) => bytes += chunk.length);
          socket.write(
            "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
              `Sec-WebSocket-Accept: ${accept}\r\n${name}: 1\r\n\r\n`,
          );
        });
      });
      await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      const { port } = server.address() as net.AddressInfo;
      await withVm([`127.0.0.1:${port}`], async () => {
        await kernelTesting.waitFor(() => isClosed || bytes > 0, "the VM uses or closes the link");
        assert.equal(bytes > 0, isAccepted);
      });
      server.close();
    });
  }
});
