"""Tests that test processes which run at the same time get different ports.
Guards against a gateway that cannot bind its port beside other tests."""

import subprocess
import sys
import unittest

import cluster


class PortReservationTest(unittest.TestCase):
    def test_port_of_a_running_process_is_not_given_to_another(self):
        # Nothing has bound the port yet, or its user is restarting.
        [port] = cluster.free_ports(1)
        command = ("import cluster, sys; "
                   "sys.exit(cluster.reserve_port(int(sys.argv[1])))")
        other = subprocess.run([sys.executable, "-c", command, str(port)])
        self.assertEqual(other.returncode, 0)
        self.assertFalse(cluster.reserve_port(port))

    def test_ports_of_an_ended_process_are_free_again(self):
        command = "import cluster; print(cluster.free_ports(1)[0])"
        ended = subprocess.run([sys.executable, "-c", command],
                               capture_output=True, check=True)
        self.assertTrue(cluster.reserve_port(int(ended.stdout)))


if __name__ == "__main__":
    unittest.main()
