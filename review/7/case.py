"""A partner falls silent for 12 s and comes back cold; meanwhile its endpoints are drained and replaced by new ones."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import bench
import partner


async def case(record, scratch, relays):
    return await partner.play(record, scratch, relays, outage=float(os.environ.get("OUTAGE", 12)), replace=os.environ.get("REPLACE", "1") != "0",
                              rate=21.0, traffic=16.5, each=2, others=57.5)


bench.main(case, os.environ.get("OUT", HERE))
