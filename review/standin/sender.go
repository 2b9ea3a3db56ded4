package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// senderOf returns the VM whose process holds the other end of a channel to a server. Processes on one machine share the loopback
// address that their channels come from, so the kernel's list of sockets tells which one it is.
func (d *deployment) senderOf(remote string) *vm {
	inode := socketInode(remote)
	for _, v := range d.vms {
		v.mu.Lock()
		command := v.command
		v.mu.Unlock()
		if inode == "" || command == nil {
			continue
		}
		folder := filepath.Join("/proc", strconv.Itoa(command.Process.Pid), "fd")
		files, _ := os.ReadDir(folder)
		for _, file := range files {
			if target, err := os.Readlink(filepath.Join(folder, file.Name())); err == nil && target == "socket:["+inode+"]" {
				return v
			}
		}
	}
	return nil
}

// socketInode returns the inode of the TCP socket with a local address, or nothing.
func socketInode(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	// The kernel prints the address in the byte order of the machine, which is little-endian on both kinds.
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", number)
	data, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == local {
			return fields[9]
		}
	}
	return ""
}
