"""On a quiet day three partners fall silent for 8.5 s, one after the other, and come back cold."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import bench
import partner


async def case(record, scratch, relays):
    return await partner.play(record, scratch, relays, outage=float(os.environ.get("OUTAGE", 8.5)), replace=False,
                              rate=20.0, traffic=9.6, each=3, others=13.2, partners=3)


bench.main(case, os.environ.get("OUT", HERE))
